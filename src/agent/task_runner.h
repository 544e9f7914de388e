// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Carries one instance's task forward, step by step. Pure: what has to be done outside goes into actions.
#ifndef BADGERBRIDGE_AGENT_TASK_RUNNER_H_
#define BADGERBRIDGE_AGENT_TASK_RUNNER_H_

#include <optional>
#include <string>
#include <vector>

#include "agent/controller_events.h"
#include "agent/fleet_state.h"

namespace badgerbridge::agent {

/// How far TaskRunner::RunStep came.
enum class StepProgress {
  kAdvanced,  ///< the next step is current; run it
  kBlocked,   ///< the step waits for an event or for time, or the task has ended
};

/// How long after its deadline a task whose process may be killed is still followed: for what may come after
/// a SIGTERM at the deadline, and for the end of a killed process to be seen.
constexpr Time kForceAfterSlack = kTerminationGracePeriod + Time(1000);

/// After a call to an instance, the least time to the next.
constexpr Time kCallRetryDelay{250};

/// Works on one task at one moment. Holds references; lives no longer than the call that made it.
class TaskRunner {
 public:
  /// `task` is one of `order`, which is one of `state`. Actions are appended to `actions`.
  TaskRunner(FleetState& state, OrderState& order, InstanceTask& task, Time now, std::vector<Action>& actions)
      : state_(state), order_(order), task_(task), now_(now), actions_(actions) {}

  /// Begins the first step, and runs on until a step waits or the task has ended.
  void Begin();
  /// Runs on until a step waits or the task has ended. Ends as superseded where the order that superseded
  /// this one names the instance too, and nothing is in flight.
  void Resume();

  /// The current step is done: the next one becomes current.
  void MoveToNextStep();
  /// The current step's call was not accepted: it is attempted again later.
  void ScheduleCallRetry(const std::string& reason);
  /// Ends the task for good.
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
  bool MayForce() const;
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
