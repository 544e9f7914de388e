// SPDX-License-Identifier: Apache-2.0
//
// The life cycle of a task: start, handover, deadline and escalation. The steps are in task_runner_steps.cpp.
#include "agent/task_runner.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "agent/step_description.h"
#include "agent/task_steps.h"

namespace badgerbridge::agent {

void TaskRunner::Begin() {
  task_.state = TaskState::kRunning;
  task_.started_at = now_;
  task_.step_started_at = now_;
  state_.MarkChanged(order_);
  while (task_.state == TaskState::kRunning) {
    if (RunStep() == StepProgress::kBlocked) return;
  }
}

void TaskRunner::Resume() {
  const bool taken_over = IsTakenOver();
  while (task_.state == TaskState::kRunning) {
    if (taken_over && MayHandOver()) {
      const std::string step = DescribeStep(state_, order_, task_);
      End(TaskState::kSuperseded, "superseded by order " + order_.superseded_by + " while " + step);
      return;
    }
    if (RunStep() == StepProgress::kBlocked) return;
  }
}

void TaskRunner::MoveToNextStep() {
  ++task_.step_index;
  task_.step_started_at = now_;
  task_.action_sent = false;
  task_.last_call_error.clear();
  state_.MarkChanged(order_);
}

void TaskRunner::ScheduleCallRetry(const std::string& reason) {
  task_.action_sent = false;
  task_.retry_at = now_ + kCallRetryDelay;
  task_.last_call_error = reason;
}

void TaskRunner::End(TaskState outcome, std::string message) {
  task_.state = outcome;
  task_.ended_at = now_;
  task_.message = std::move(message);
  task_.last_call_error.clear();
  state_.MarkChanged(order_);
  if (outcome == TaskState::kFailed && order_.order.max_parallel > 0) order_.halted = true;
}

StepProgress TaskRunner::RunStep() {
  if (task_.step_index >= task_.steps.size()) {
    std::string message(SuccessMessage(order_.order.verb));
    if (!task_.message.empty()) message += "; " + task_.message;
    return Succeed(std::move(message));
  }
  if (!EnsureInstance()) return StepProgress::kBlocked;
  if (const auto escalated = EscalateTermination()) return *escalated;
  if (IsPastDeadline()) return FailAtDeadline();
  return RunCurrentStep();
}

/// Finds the instance; an apply order creates a missing one. Returns false if the task has ended because
/// there is none.
bool TaskRunner::EnsureInstance() {
  instance_ = state_.FindInstance(task_.instance);
  if (instance_) return true;
  const bool applies = order_.order.verb == Verb::kApply;
  const auto definition = order_.order.definitions.find(task_.instance);
  if (applies && definition != order_.order.definitions.end() && definition->second.empty()) {
    Succeed("was removed already");
    return false;
  }
  if (!applies || !state_.AddInstance(task_.instance, "", false)) {
    Fail("there is no such instance any more");
    return false;
  }
  instance_ = state_.FindInstance(task_.instance);
  return true;
}

/// Whether force_after applies to the current step.
bool TaskRunner::MayForceTermination() const {
  return order_.order.force_after && IsBeforeProcessEnd(task_) && instance_->pid != 0 && !task_.killed;
}

/// After force_after, skips the rest of the drain to the SIGTERM step, then sends SIGKILL. Returns nullopt if
/// neither is due.
std::optional<StepProgress> TaskRunner::EscalateTermination() {
  if (!MayForceTermination() || Elapsed() < *order_.order.force_after) return std::nullopt;
  if (task_.steps[task_.step_index] != Step::kTerminate) {
    const auto terminate = std::find(task_.steps.begin(), task_.steps.end(), Step::kTerminate);
    task_.step_index = static_cast<std::size_t>(terminate - task_.steps.begin());
    task_.action_sent = false;
    task_.step_started_at = now_;
    task_.last_call_error.clear();
    state_.MarkChanged(order_);
    return StepProgress::kAdvanced;
  }
  const auto& sigterm_sent_at = instance_->sigterm_sent_at;
  if (!sigterm_sent_at || now_ - *sigterm_sent_at < kTerminationGracePeriod) return std::nullopt;
  task_.killed = true;
  task_.action_sent = true;
  task_.message = "killed after " + FormatSeconds(Elapsed()) + ", as force_after said";
  state_.MarkChanged(order_);
  actions_.push_back(Signal{instance_->name, SIGKILL});
  return StepProgress::kBlocked;
}

bool TaskRunner::IsPastDeadline() const {
  const Time slack = MayForceTermination() || task_.killed ? kForceAfterSlack : Time(0);
  if (Elapsed() < order_.order.deadline + slack) return false;
  return MayHandOver() || task_.steps[task_.step_index] == Step::kTerminate;
}

StepProgress TaskRunner::FailAtDeadline() {
  const Step step = task_.steps[task_.step_index];
  std::string message = "not in time: " + DescribeStep(state_, order_, task_) + " for " +
                        FormatSeconds(now_ - task_.step_started_at);
  const bool is_undoable = IsBeforeProcessEnd(task_) && step != Step::kTerminate && instance_->pid != 0;
  if (!is_undoable) {
    if (step == Step::kAwaitDrained) message += "; it goes on draining";
    return Fail(std::move(message));
  }
  // A task that did not get past the drain leaves the instance as it was before the order.
  if (instance_->desired_drained) return Fail(message + "; it goes on draining, as it was told before");
  if (!instance_->call_in_flight) {
    instance_->call_in_flight = true;
    actions_.push_back(Call{instance_->name, false, Time(0)});
  }
  return Fail(message + "; taken back, it runs as before");
}

/// Whether the superseding order names the same instance.
bool TaskRunner::IsTakenOver() const {
  if (order_.superseded_by.empty()) return false;
  const OrderState* successor = state_.FindOrder(order_.superseded_by);
  return successor &&
         std::any_of(successor->tasks.begin(), successor->tasks.end(),
                     [&](const InstanceTask& other) { return other.instance == task_.instance; });
}

/// Whether the instance can be handed over: between two steps and during steps that only wait, but not while
/// a call, a start or a SIGTERM is in flight.
bool TaskRunner::MayHandOver() const {
  if (task_.step_index >= task_.steps.size()) return true;
  const Instance* instance = std::as_const(state_).FindInstance(task_.instance);
  if (!instance) return true;
  switch (task_.steps[task_.step_index]) {
    case Step::kStartProcess:
      return !instance->start_in_flight;
    case Step::kCallDrain:
    case Step::kCallUndrain:
      return !instance->call_in_flight;
    case Step::kTerminate:
      return !task_.action_sent || instance->pid == 0;
    default:
      return true;
  }
}

/// Whether the instance was polled after the current step began.
bool TaskRunner::HasFreshObservation() const {
  return instance_->observation && instance_->observed_at > task_.step_started_at;
}

Time TaskRunner::Elapsed() const { return now_ - task_.started_at; }

StepProgress TaskRunner::Advance() {
  MoveToNextStep();
  task_.retry_at = Time(0);
  return StepProgress::kAdvanced;
}

StepProgress TaskRunner::Succeed(std::string message) {
  End(TaskState::kSucceeded, std::move(message));
  return StepProgress::kBlocked;
}

StepProgress TaskRunner::Fail(std::string message) {
  End(TaskState::kFailed, std::move(message));
  return StepProgress::kBlocked;
}

std::string TaskRunner::NotRunningMessage() const {
  return "does not run" + (instance_->last_exit.empty() ? "" : "; it last " + instance_->last_exit);
}

}  // namespace badgerbridge::agent
