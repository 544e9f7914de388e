// SPDX-License-Identifier: Apache-2.0
#include "agent/task_steps.h"

#include <algorithm>

namespace badgerbridge::agent {
namespace {

std::vector<Step> PlanApply(const Order& order, const std::string& instance) {
  if (RemovesInstance(order, instance))
    return {Step::kCallDrain, Step::kAwaitDrained, Step::kTerminate, Step::kRemoveInstance};
  return {Step::kCallDrain,        Step::kAwaitDrained, Step::kTerminate,
          Step::kUpdateDefinition, Step::kStartProcess, Step::kAwaitReady};
}

}  // namespace

bool RemovesInstance(const Order& order, const std::string& instance) {
  const auto definition = order.definitions.find(instance);
  return definition == order.definitions.end() || definition->second.empty();
}

std::vector<Step> PlanSteps(const Order& order, const std::string& instance) {
  switch (order.verb) {
    case Verb::kStart:
      return {Step::kStartProcess, Step::kCallUndrain, Step::kAwaitReady};
    case Verb::kStop:
      return {Step::kTerminate};
    case Verb::kDrain:
      return {Step::kCallDrain, Step::kAwaitDrained};
    case Verb::kUndrain:
      return {Step::kCallUndrain, Step::kAwaitReady};
    case Verb::kReload:
      return {Step::kReadReloadCounts, Step::kSignalReload, Step::kAwaitReloaded};
    case Verb::kRestart:
      return {Step::kCallDrain, Step::kAwaitDrained, Step::kTerminate, Step::kStartProcess,
              Step::kAwaitReady};
    case Verb::kApply:
      break;
  }
  return PlanApply(order, instance);
}

bool EndsProcess(const InstanceTask& task) {
  return std::find(task.steps.begin(), task.steps.end(), Step::kTerminate) != task.steps.end();
}

bool IsBeforeProcessEnd(const InstanceTask& task) {
  if (!EndsProcess(task)) return false;
  switch (task.steps[task.step_index]) {
    case Step::kStartProcess:
    case Step::kAwaitReady:
    case Step::kUpdateDefinition:
    case Step::kRemoveInstance:
      return false;
    default:
      return true;
  }
}

bool AwaitsObservation(Step step) {
  switch (step) {
    case Step::kAwaitReady:
    case Step::kAwaitDrained:
    case Step::kReadReloadCounts:
    case Step::kAwaitReloaded:
      return true;
    default:
      return false;
  }
}

std::string_view SuccessMessage(Verb verb) {
  constexpr std::string_view kMessages[] = {"ready",    "stopped",          "drained",       "takes work",
                                            "reloaded", "restarted, ready", "applied, ready"};
  return kMessages[static_cast<int>(verb)];
}

}  // namespace badgerbridge::agent
