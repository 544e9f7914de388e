// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The steps of a task for each verb, and their properties.
#ifndef BADGERBRIDGE_AGENT_TASK_STEPS_H_
#define BADGERBRIDGE_AGENT_TASK_STEPS_H_

#include <string>
#include <string_view>
#include <vector>

#include "agent/order.h"

namespace badgerbridge::agent {

/// Whether a Verb::kApply order removes the instance: it has no definition, or an empty one.
bool RemovesInstance(const Order& order, const std::string& instance);

/// The steps of the order for the instance, in order of execution.
std::vector<Step> PlanSteps(const Order& order, const std::string& instance);

/// Whether a step of the task ends the process. Such a task does not fail if the instance has no process to
/// drain.
bool EndsProcess(const InstanceTask& task);

/// Whether the task ends the process and has not completed that step yet.
bool IsBeforeProcessEnd(const InstanceTask& task);

/// Whether the step waits for an observation of the instance, which only a poll delivers.
bool AwaitsObservation(Step step);

/// The message of a succeeded task.
std::string_view SuccessMessage(Verb verb);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_TASK_STEPS_H_
