// SPDX-License-Identifier: Apache-2.0
//
// The steps of a task.
#include <algorithm>
#include <csignal>

#include "agent/task_runner.h"
#include "agent/task_steps.h"

namespace badgerbridge::agent {

StepProgress TaskRunner::RunCurrentStep() {
  switch (task_.steps[task_.step_index]) {
    case Step::kStartProcess:
      return RunStartProcess();
    case Step::kAwaitReady:
      return RunAwaitReady();
    case Step::kCallDrain:
      return RunCall(/*drain=*/true);
    case Step::kCallUndrain:
      return RunCall(/*drain=*/false);
    case Step::kAwaitDrained:
      return RunAwaitDrained();
    case Step::kTerminate:
      return RunTerminate();
    case Step::kReadReloadCounts:
      return RunReadReloadCounts();
    case Step::kSignalReload:
      return RunSignalReload();
    case Step::kAwaitReloaded:
      return RunAwaitReloaded();
    case Step::kUpdateDefinition:
      return RunUpdateDefinition();
    case Step::kRemoveInstance:
      return RunRemoveInstance();
  }
  return StepProgress::kBlocked;
}

/// Only sets the desired state; FleetController::Supervise() starts the process.
StepProgress TaskRunner::RunStartProcess() {
  const bool runs = instance_->pid != 0;
  if (!task_.action_sent) {
    task_.action_sent = true;
    instance_->desired_running = true;
    instance_->desired_drained = false;
    instance_->consecutive_crashes = 0;
    instance_->crash_loop_reason.clear();
    instance_->start_not_before = Time(0);
    state_.MarkChanged(*instance_);
    if (runs && task_.step_index == 0) task_.message = "ran already";
  }
  if (runs) return Advance();
  if (!instance_->crash_loop_reason.empty()) return Fail(instance_->crash_loop_reason);
  return StepProgress::kBlocked;
}

StepProgress TaskRunner::RunAwaitReady() {
  if (!instance_->crash_loop_reason.empty()) return Fail(instance_->crash_loop_reason);
  if (order_.order.verb == Verb::kUndrain && instance_->pid == 0)
    return Fail("does not run; " + instance_->last_exit);
  if (!HasFreshObservation() || instance_->observation->state != "ready") return StepProgress::kBlocked;
  return Advance();
}

/// Issues the call; its CallSucceeded or CallFailed completes or repeats the step.
StepProgress TaskRunner::RunCall(bool drain) {
  const bool runs = instance_->pid != 0;
  const bool starts = order_.order.verb == Verb::kStart;
  // An instance that this order has just started accepts requests without an undrain.
  if (starts && runs && instance_->spawned_at >= task_.started_at) return Advance();
  if (!runs) return EndsProcess(task_) || starts ? Advance() : Fail(NotRunningMessage());
  if (task_.action_sent || instance_->call_in_flight || now_ < task_.retry_at) return StepProgress::kBlocked;
  task_.action_sent = true;
  instance_->call_in_flight = true;
  const Time time_left = std::max(Time(0), order_.order.deadline - Elapsed());
  actions_.push_back(Call{instance_->name, drain, time_left});
  return StepProgress::kBlocked;
}

StepProgress TaskRunner::RunAwaitDrained() {
  if (instance_->pid == 0) {
    if (EndsProcess(task_)) return Advance();
    return Fail("ended while it drained: " + instance_->last_exit);
  }
  if (!HasFreshObservation() || instance_->observation->state != "drained") return StepProgress::kBlocked;
  return Advance();
}

StepProgress TaskRunner::RunTerminate() {
  if (instance_->desired_running || instance_->desired_drained) {
    instance_->desired_running = false;
    instance_->desired_drained = false;
    state_.MarkChanged(*instance_);
  }
  // A process whose start is in flight has no pid for the signal yet.
  if (instance_->start_in_flight) return StepProgress::kBlocked;
  if (instance_->pid == 0) {
    const bool did_nothing = !task_.action_sent && task_.step_index == 0 && task_.message.empty();
    if (did_nothing) task_.message = "did not run";
    return Advance();
  }
  if (task_.action_sent) return StepProgress::kBlocked;
  task_.action_sent = true;
  if (!instance_->sigterm_sent_at) instance_->sigterm_sent_at = now_;
  actions_.push_back(Signal{instance_->name, SIGTERM});
  return StepProgress::kBlocked;
}

StepProgress TaskRunner::RunReadReloadCounts() {
  if (instance_->pid == 0) return Fail(NotRunningMessage());
  if (!HasFreshObservation()) return StepProgress::kBlocked;
  task_.reloads_applied = instance_->observation->reloads_applied;
  task_.reloads_rejected = instance_->observation->reloads_rejected;
  return Advance();
}

StepProgress TaskRunner::RunSignalReload() {
  if (instance_->pid == 0) return Fail("ended: " + instance_->last_exit);
  actions_.push_back(Signal{instance_->name, SIGHUP});
  return Advance();
}

StepProgress TaskRunner::RunAwaitReloaded() {
  if (instance_->pid == 0) return Fail("ended while it reloaded: " + instance_->last_exit);
  if (!HasFreshObservation()) return StepProgress::kBlocked;
  const Observation& observation = *instance_->observation;
  if (observation.reloads_rejected > task_.reloads_rejected)
    return Fail("refused the configuration: " + observation.reload_error);
  if (observation.reloads_applied <= task_.reloads_applied) return StepProgress::kBlocked;
  return Advance();
}

StepProgress TaskRunner::RunUpdateDefinition() {
  instance_->definition = order_.order.definitions.at(instance_->name);
  state_.MarkChanged(*instance_);
  return Advance();
}

StepProgress TaskRunner::RunRemoveInstance() {
  // The result of a call in flight must not be attributed to a later instance of the same name.
  if (instance_->call_in_flight) return StepProgress::kBlocked;
  state_.MarkChanged(*instance_);
  state_.instances.erase(task_.instance);
  instance_ = nullptr;
  ++task_.step_index;
  return Succeed("removed");
}

}  // namespace badgerbridge::agent
