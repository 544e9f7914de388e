// SPDX-License-Identifier: Apache-2.0
#include "agent/wakeup.h"

#include <algorithm>

#include "agent/supervisor.h"
#include "agent/task_runner.h"

namespace badgerbridge::agent {
namespace {

/// Accumulates the earliest of several times.
class Earliest {
 public:
  void Add(Time time) { earliest_ = earliest_ ? std::min(*earliest_, time) : time; }
  /// Adds the time if it is in the future.
  void AddIfAfter(Time now, Time time) {
    if (time > now) Add(time);
  }
  std::optional<Time> get() const { return earliest_; }

 private:
  std::optional<Time> earliest_;
};

/// The time at which force_after next sends SIGTERM or SIGKILL.
std::optional<Time> NextForceTime(const FleetState& state, const Order& order, const InstanceTask& task) {
  if (!order.force_after || task.killed) return std::nullopt;
  const Time force_at = task.started_at + *order.force_after;
  const Instance* instance = state.FindInstance(task.instance);
  if (!instance || !instance->sigterm_sent_at) return force_at;
  return std::max(force_at, *instance->sigterm_sent_at + kTerminationGracePeriod);
}

void AddInstanceTimes(const Instance& instance, Time now, Earliest& earliest) {
  if (Supervisor::AwaitsStart(instance)) earliest.Add(instance.start_not_before);
  if (Supervisor::AwaitsDrain(instance)) earliest.AddIfAfter(now, instance.call_not_before);
}

void AddTaskTimes(const FleetState& state, const Order& order, const InstanceTask& task, Time now,
                  Earliest& earliest) {
  const Time deadline = task.started_at + order.deadline;
  earliest.AddIfAfter(now, deadline);
  if (order.force_after) earliest.AddIfAfter(now, deadline + kForceAfterSlack);
  if (const auto force_at = NextForceTime(state, order, task)) earliest.AddIfAfter(now, *force_at);
  earliest.AddIfAfter(now, task.retry_at);
}

}  // namespace

std::optional<Time> FindNextWakeup(const FleetState& state, Time now) {
  Earliest earliest;
  for (const auto& [name, instance] : state.instances) AddInstanceTimes(instance, now, earliest);
  for (const OrderState& order : state.orders) {
    if (order.ended) continue;
    for (const InstanceTask& task : order.tasks) {
      if (task.state == TaskState::kRunning) AddTaskTimes(state, order.order, task, now, earliest);
    }
  }
  return earliest.get();
}

}  // namespace badgerbridge::agent
