// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Executes the steps of a task. Without I/O: effects outside of the state are appended as actions.
#ifndef BADGERBRIDGE_AGENT_TASK_RUNNER_H_
#define BADGERBRIDGE_AGENT_TASK_RUNNER_H_

#include <optional>
#include <string>
#include <vector>

#include "agent/controller_events.h"
#include "agent/fleet_state.h"

namespace badgerbridge::agent {

/// The result of running a step.
enum class StepProgress {
  kAdvanced,  ///< the next step is current and can be run
  kBlocked,   ///< the step waits for an event or a time, or the task has ended
};

/// The extension of the deadline of a task whose process may be killed: the grace period after a SIGTERM at
/// the deadline, and 1 s to detect the end of the killed process.
constexpr Time kForceAfterSlack = kTerminationGracePeriod + Time(1000);

/// The minimum time between the end of a call to an instance and the next call.
constexpr Time kCallRetryDelay{250};

/// Runs one task at one point in time. Holds references, so it must not outlive the call that created it.
class TaskRunner {
 public:
  /// `task` must be an element of `order`, and `order` one of `state`. Appends to `actions`.
  TaskRunner(FleetState& state, OrderState& order, InstanceTask& task, Time now, std::vector<Action>& actions)
      : state_(state), order_(order), task_(task), now_(now), actions_(actions) {}

  /// Starts the task, and runs steps until one waits or the task has ended.
  void Begin();
  /// Runs steps until one waits or the task has ended. Ends the task as superseded if the superseding order
  /// names the instance too and no action is in flight.
  void Resume();

  /// Completes the current step and makes the next one current, without running it.
  void MoveToNextStep();
  /// Schedules another attempt of the current step's call, which failed.
  void ScheduleCallRetry(const std::string& reason);
  /// Ends the task. `outcome` must be a terminal state. A failure halts an order with max_parallel.
  void End(TaskState outcome, std::string message);

 private:
  StepProgress RunStep();
  StepProgress RunCurrentStep();
  StepProgress RunStartProcess();
  StepProgress RunAwaitReady();
  StepProgress RunCall(bool drain);
  StepProgress RunAwaitDrained();
  StepProgress RunTerminate();
  StepProgress RunReadReloadCounts();
  StepProgress RunSignalReload();
  StepProgress RunAwaitReloaded();
  StepProgress RunUpdateDefinition();
  StepProgress RunRemoveInstance();

  bool EnsureInstance();
  bool MayForceTermination() const;
  std::optional<StepProgress> EscalateTermination();
  bool IsPastDeadline() const;
  StepProgress FailAtDeadline();
  bool IsTakenOver() const;
  bool MayHandOver() const;
  bool HasFreshObservation() const;
  Time Elapsed() const;
  StepProgress Advance();
  StepProgress Succeed(std::string message);
  StepProgress Fail(std::string message);
  std::string NotRunningMessage() const;

  FleetState& state_;
  OrderState& order_;
  InstanceTask& task_;
  Instance* instance_ = nullptr;  // set by EnsureInstance
  Time now_;
  std::vector<Action>& actions_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_TASK_RUNNER_H_
