// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The state of a FleetController: instances, orders, and which of them have unsaved changes.
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

/// A running task and its order; both null if there is none.
struct RunningTask {
  OrderState* order = nullptr;   ///< owner of the task
  InstanceTask* task = nullptr;  ///< element of order->tasks
};

/// A copyable value: a copy is restored if an accepted order cannot be stored.
struct FleetState {
  std::map<std::string, Instance> instances;  ///< by name
  std::vector<OrderState> orders;             ///< by generation, the newest last
  std::uint64_t generation = 0;               ///< of the newest accepted order
  std::set<std::string> changed_instances;    ///< names to store, including removed instances
  std::set<std::string> changed_orders;       ///< ids to store

  /// Returns false, and adds nothing, if the name exists or kMaxInstances is reached.
  bool AddInstance(const std::string& name, const std::string& definition, bool desired_running);
  /// Returns nullptr if there is no instance of this name.
  Instance* FindInstance(const std::string& name);
  /// Returns nullptr if there is no instance of this name.
  const Instance* FindInstance(const std::string& name) const;
  /// The newest order of this id; nullptr if there is none.
  const OrderState* FindOrder(const std::string& id) const;
  /// The running task of the instance. At most one task of an instance is running.
  RunningTask FindRunningTask(const std::string& instance);
  /// The running task of the instance; nullptr if there is none.
  const InstanceTask* FindRunningTask(const std::string& instance) const;
  /// Removes the oldest ended orders while there are more than kMaxOrders orders.
  void PruneEndedOrders();

  /// Marks the instance to be stored with the next TakeChanges().
  void MarkChanged(const Instance& instance) { changed_instances.insert(instance.name); }
  /// Marks the order to be stored with the next TakeChanges().
  void MarkChanged(const OrderState& order) { changed_orders.insert(order.order.id); }
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_FLEET_STATE_H_
