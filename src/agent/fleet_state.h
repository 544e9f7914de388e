// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// All that a FleetController knows: instances, orders, and which of them have to be stored again.
#ifndef BADGERBRIDGE_AGENT_FLEET_STATE_H_
#define BADGERBRIDGE_AGENT_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "agent/instance.h"
#include "agent/order.h"

namespace badgerbridge::agent {

/// A task that is running, and its order. Both null: there is none.
struct RunningTask {
  OrderState* order = nullptr;   ///< that the task belongs to
  InstanceTask* task = nullptr;  ///< that works on the instance
};

/// A value: copied to undo an order that could not be stored.
struct FleetState {
  std::map<std::string, Instance> instances;  ///< by name
  std::vector<OrderState> orders;             ///< by generation, the newest last
  std::uint64_t generation = 0;               ///< of the newest accepted order
  std::set<std::string> changed_instances;    ///< names of those to be stored; also of removed ones
  std::set<std::string> changed_orders;       ///< ids of those to be stored

  /// Adds an instance that is not desired to run yet unless `desired_running`. False if the name is taken or
  /// kMaxInstances is reached.
  bool AddInstance(const std::string& name, const std::string& definition, bool desired_running);
  /// The instance of this name; nullptr: there is none.
  Instance* FindInstance(const std::string& name);
  /// The instance of this name; nullptr: there is none.
  const Instance* FindInstance(const std::string& name) const;
  /// The newest order of this id; nullptr: there is none.
  const OrderState* FindOrder(const std::string& id) const;
  /// The task that works on the instance now. There is at most one.
  RunningTask FindRunningTask(const std::string& instance);
  /// The task that works on the instance now; nullptr: none does.
  const InstanceTask* FindRunningTask(const std::string& instance) const;
  /// Forgets the oldest ended orders beyond kMaxOrders.
  void PruneEndedOrders();

  /// Has the instance stored with the next changes.
  void MarkChanged(const Instance& instance) { changed_instances.insert(instance.name); }
  /// Has the order stored with the next changes.
  void MarkChanged(const OrderState& order) { changed_orders.insert(order.order.id); }
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_FLEET_STATE_H_
