// SPDX-License-Identifier: Apache-2.0
#include "agent/fleet_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace badgerbridge::agent {

bool FleetState::AddInstance(const std::string& name, const std::string& definition, bool desired_running) {
  if (instances.size() >= kMaxInstances || instances.contains(name)) return false;
  Instance& instance = instances[name];
  instance.name = name;
  instance.definition = definition;
  instance.desired_running = desired_running;
  MarkChanged(instance);
  return true;
}

Instance* FleetState::FindInstance(const std::string& name) {
  const auto found = instances.find(name);
  return found == instances.end() ? nullptr : &found->second;
}

const Instance* FleetState::FindInstance(const std::string& name) const {
  const auto found = instances.find(name);
  return found == instances.end() ? nullptr : &found->second;
}

const OrderState* FleetState::FindOrder(const std::string& id) const {
  const auto found = std::find_if(orders.rbegin(), orders.rend(),
                                  [&](const OrderState& state) { return state.order.id == id; });
  return found == orders.rend() ? nullptr : &*found;
}

RunningTask FleetState::FindRunningTask(const std::string& instance) {
  for (OrderState& order : orders) {
    if (order.ended) continue;
    for (InstanceTask& task : order.tasks) {
      if (task.instance == instance && task.state == TaskState::kRunning) return {&order, &task};
    }
  }
  return {};
}

const InstanceTask* FleetState::FindRunningTask(const std::string& instance) const {
  for (const OrderState& order : orders) {
    if (order.ended) continue;
    for (const InstanceTask& task : order.tasks) {
      if (task.instance == instance && task.state == TaskState::kRunning) return &task;
    }
  }
  return nullptr;
}

void FleetState::PruneEndedOrders() {
  auto order = orders.begin();
  while (orders.size() > kMaxOrders && order != orders.end())
    order = order->ended ? orders.erase(order) : std::next(order);
}

}  // namespace badgerbridge::agent
