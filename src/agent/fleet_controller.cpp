// SPDX-License-Identifier: Apache-2.0
#include "agent/fleet_controller.h"

#include <algorithm>
#include <utility>

#include "agent/order_codec.h"
#include "agent/step_description.h"
#include "agent/task_runner.h"
#include "agent/task_steps.h"
#include "agent/wakeup.h"

namespace badgerbridge::agent {
namespace {

bool NamesInstance(const Order& order, const std::string& instance) {
  return std::find(order.instances.begin(), order.instances.end(), instance) != order.instances.end();
}

std::string SkippedMessage(const OrderState& order) {
  const auto failed = std::find_if(order.tasks.begin(), order.tasks.end(),
                                   [](const InstanceTask& task) { return task.state == TaskState::kFailed; });
  const std::string reason = failed == order.tasks.end() ? "" : " when " + failed->instance + " failed";
  return "not begun: the order halted" + reason;
}

void ResetProcess(Time now, pid_t pid, Instance& instance) {
  instance.start_in_flight = false;
  instance.pid = pid;
  instance.spawned_at = now;
  instance.sigterm_sent_at.reset();
  instance.observation.reset();
}

}  // namespace

// ---- orders -------------------------------------------------------------------------------------------

ValidationResult FleetController::Submit(Time now, std::int64_t unix_ms, const Order& order,
                                         std::vector<Action>* actions) {
  ValidationResult result = Validate(order);
  if (!result.accepted()) return result;
  ++state_.generation;
  if (order.supersede) MarkSuperseded(order);
  RecordOrder(now, unix_ms, order);
  state_.PruneEndedOrders();
  Advance(now, *actions);
  return result;
}

/// An open order that shares an instance with `order` is marked as superseded and begins no further task.
void FleetController::MarkSuperseded(const Order& order) {
  for (OrderState& open : state_.orders) {
    if (open.ended || !open.superseded_by.empty()) continue;
    const bool shared = std::any_of(open.tasks.begin(), open.tasks.end(), [&](const InstanceTask& task) {
      return !IsTerminal(task.state) && NamesInstance(order, task.instance);
    });
    if (!shared) continue;
    open.superseded_by = order.id;
    state_.MarkChanged(open);
  }
}

void FleetController::RecordOrder(Time now, std::int64_t unix_ms, const Order& order) {
  OrderState accepted;
  accepted.order = order;
  accepted.generation = state_.generation;
  accepted.accepted_unix_ms = unix_ms;
  accepted.accepted_at = now;
  for (const std::string& name : order.instances) {
    if (!state_.FindInstance(name)) state_.AddInstance(name, "", false);
    Instance& instance = state_.instances.at(name);
    instance.changed_generation = state_.generation;
    instance.changed_by_order = order.id;
    state_.MarkChanged(instance);
    InstanceTask task;
    task.instance = name;
    task.steps = PlanSteps(order, name);
    accepted.tasks.push_back(std::move(task));
  }
  state_.MarkChanged(accepted);
  state_.orders.push_back(std::move(accepted));
}

void FleetController::Advance(Time now, std::vector<Action>& actions) {
  for (OrderState& order : state_.orders) {
    if (!order.ended) AdvanceOrder(now, order, actions);
  }
  for (auto& [name, instance] : state_.instances) Supervise(now, instance, actions);
}

void FleetController::AdvanceOrder(Time now, OrderState& order, std::vector<Action>& actions) {
  const unsigned running = ResumeTasks(now, order, actions);
  BeginTasks(now, order, running, actions);
  order.ended = std::all_of(order.tasks.begin(), order.tasks.end(),
                            [](const InstanceTask& task) { return IsTerminal(task.state); });
  if (order.ended) state_.MarkChanged(order);
}

/// Returns the number of tasks that are still running.
unsigned FleetController::ResumeTasks(Time now, OrderState& order, std::vector<Action>& actions) {
  unsigned running = 0;
  for (InstanceTask& task : order.tasks) {
    if (task.state != TaskState::kRunning) continue;
    TaskRunner(state_, order, task, now, actions).Resume();
    if (task.state == TaskState::kRunning) ++running;
  }
  return running;
}

/// Begins pending tasks up to Order::max_parallel running ones, or ends them if the order was superseded or
/// halted.
void FleetController::BeginTasks(Time now, OrderState& order, unsigned running,
                                 std::vector<Action>& actions) {
  for (InstanceTask& task : order.tasks) {
    if (task.state != TaskState::kPending) continue;
    TaskRunner runner(state_, order, task, now, actions);
    if (!order.superseded_by.empty()) {
      runner.End(TaskState::kSuperseded, "not begun: superseded by order " + order.superseded_by);
      continue;
    }
    if (order.halted) {
      runner.End(TaskState::kSkipped, SkippedMessage(order));
      continue;
    }
    if (order.order.max_parallel > 0 && running >= order.order.max_parallel) continue;
    // A superseded order may not have handed the instance over yet.
    if (state_.FindRunningTask(task.instance).task) continue;
    runner.Begin();
    if (task.state == TaskState::kRunning) ++running;
  }
}

/// Restores the desired state of an instance: starts its process, and drains it again, if needed.
void FleetController::Supervise(Time now, Instance& instance, std::vector<Action>& actions) {
  if (Supervisor::ShouldStart(now, instance)) {
    instance.start_in_flight = true;
    actions.push_back(Spawn{instance.name, instance.definition});
  }
  const bool may_drain = Supervisor::AwaitsDrain(instance) && now >= instance.call_not_before;
  if (may_drain && !state_.FindRunningTask(instance.name).task) {
    instance.call_in_flight = true;
    actions.push_back(Call{instance.name, true, Time(0)});
  }
}

// ---- events -------------------------------------------------------------------------------------------

void FleetController::Handle(Time now, const Event& event, std::vector<Action>* actions) {
  std::visit([&](const auto& one) { On(now, one); }, event);
  Advance(now, *actions);
}

void FleetController::On(Time now, const Spawned& event) {
  Instance* instance = state_.FindInstance(event.instance);
  if (!instance || !instance->start_in_flight) return;
  ResetProcess(now, event.pid, *instance);
  instance->unresponsive_reason.clear();
}

void FleetController::On(Time now, const SpawnFailed& event) {
  Instance* instance = state_.FindInstance(event.instance);
  if (!instance || !instance->start_in_flight) return;
  instance->start_in_flight = false;
  supervisor_.OnExit(now, *instance, event.reason);
  state_.MarkChanged(*instance);
}

void FleetController::On(Time now, const Adopted& event) {
  if (Instance* instance = state_.FindInstance(event.instance)) ResetProcess(now, event.pid, *instance);
}

void FleetController::On(Time now, const Exited& event) {
  Instance* instance = state_.FindInstance(event.instance);
  if (!instance || instance->pid == 0) return;
  // A call in flight stays in flight until it ends, so that its result is not mistaken for that of a later
  // call.
  instance->pid = 0;
  instance->observation.reset();
  instance->unresponsive_reason.clear();
  supervisor_.OnExit(now, *instance, event.description);
  state_.MarkChanged(*instance);
}

void FleetController::On(Time, const Observed& event) {
  Instance* instance = state_.FindInstance(event.instance);
  if (!instance || instance->pid == 0) return;
  instance->observation = event.observation;
  instance->observed_at = event.requested_at;
  instance->unresponsive_reason.clear();
  supervisor_.OnObserved(event.observation, event.requested_at, *instance);
}

void FleetController::On(Time now, const Unresponsive& event) {
  Instance* instance = state_.FindInstance(event.instance);
  if (!instance || instance->pid == 0) return;
  if (instance->unresponsive_reason.empty()) instance->unresponsive_since = now;
  instance->unresponsive_reason = event.reason.empty() ? "no answer" : event.reason;
}

RunningTask FleetController::CompleteCall(Time now, const std::string& name) {
  Instance* instance = state_.FindInstance(name);
  if (!instance || !instance->call_in_flight) return {};
  instance->call_in_flight = false;
  instance->call_not_before = now + kCallRetryDelay;
  const RunningTask running = state_.FindRunningTask(name);
  if (!running.task || !running.task->action_sent) return {};
  const Step step = running.task->steps[running.task->step_index];
  const bool is_call = step == Step::kCallDrain || step == Step::kCallUndrain;
  return is_call ? running : RunningTask{};
}

void FleetController::On(Time now, const CallSucceeded& event) {
  const RunningTask running = CompleteCall(now, event.instance);
  if (!running.task) return;
  Instance& instance = state_.instances.at(event.instance);
  const bool drained = running.task->steps[running.task->step_index] == Step::kCallDrain;
  instance.desired_drained = drained && !EndsProcess(*running.task);
  state_.MarkChanged(instance);
  std::vector<Action> unused_actions;
  TaskRunner(state_, *running.order, *running.task, now, unused_actions).MoveToNextStep();
}

void FleetController::On(Time now, const CallFailed& event) {
  const RunningTask running = CompleteCall(now, event.instance);
  if (!running.task) return;
  std::vector<Action> unused_actions;
  TaskRunner(state_, *running.order, *running.task, now, unused_actions).ScheduleCallRetry(event.reason);
}

void FleetController::On(Time, const Tick&) {}

// ---- queries ------------------------------------------------------------------------------------------

std::string FleetController::DescribeStep(const OrderState& order, const InstanceTask& task) const {
  return agent::DescribeStep(state_, order, task);
}

bool FleetController::NeedsFrequentPolling(const std::string& name) const {
  const Instance* instance = state_.FindInstance(name);
  if (!instance || instance->pid == 0) return false;
  const InstanceTask* task = state_.FindRunningTask(name);
  if (!task || task->step_index >= task->steps.size())
    return !instance->observation && instance->unresponsive_reason.empty();
  return AwaitsObservation(task->steps[task->step_index]);
}

std::optional<Time> FleetController::NextWakeup(Time now) const { return FindNextWakeup(state_, now); }

// ---- persistence --------------------------------------------------------------------------------------

std::vector<std::string> FleetController::TakeChanges() {
  std::vector<std::string> records;
  for (const std::string& name : state_.changed_instances) {
    const Instance* instance = std::as_const(state_).FindInstance(name);
    records.push_back(instance ? EncodeInstance(*instance) : EncodeRemovedInstance(name));
  }
  for (const OrderState& order : state_.orders) {
    if (state_.changed_orders.contains(order.order.id)) records.push_back(EncodeOrder(order));
  }
  if (!state_.changed_orders.empty()) records.push_back(EncodeGeneration(state_.generation));
  state_.changed_instances.clear();
  state_.changed_orders.clear();
  return records;
}

std::vector<std::string> FleetController::AllRecords() const {
  std::vector<std::string> records{EncodeGeneration(state_.generation)};
  for (const auto& [name, instance] : state_.instances) records.push_back(EncodeInstance(instance));
  for (const OrderState& order : state_.orders) records.push_back(EncodeOrder(order));
  return records;
}

Result<void> FleetController::RestoreRecord(std::string_view record) { return DecodeRecord(record, state_); }

void FleetController::FinishRestore(Time now, bool same_boot, const std::map<std::string, pid_t>& running) {
  for (const auto& [name, pid] : running) On(now, Adopted{name, pid});
  for (OrderState& order : state_.orders) {
    if (!same_boot) order.accepted_at = now;
    for (InstanceTask& task : order.tasks) {
      if (!same_boot) {
        task.started_at = now;
        task.step_started_at = now;
        task.ended_at = now;
      }
      // The previous agent may have stopped before it performed the action.
      task.action_sent = false;
      task.killed = false;
      task.retry_at = Time(0);
    }
  }
  state_.PruneEndedOrders();
  state_.changed_instances.clear();
  state_.changed_orders.clear();
}

}  // namespace badgerbridge::agent
