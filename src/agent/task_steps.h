// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The steps of an instance's task: which ones an order takes, and what they mean for its control flow.
#ifndef BADGERBRIDGE_AGENT_TASK_STEPS_H_
#define BADGERBRIDGE_AGENT_TASK_STEPS_H_

#include <string>
#include <string_view>
#include <vector>

#include "agent/order.h"

namespace badgerbridge::agent {

/// Whether a Verb::kApply order removes the instance, having no definition for it.
bool RemovesInstance(const Order& order, const std::string& instance);

/// The steps that the order takes with the instance, in order.
std::vector<Step> PlanSteps(const Order& order, const std::string& instance);

/// Whether the task ends the process at some step: then an instance that does not run, or does not drain, is
/// no obstacle to it.
bool EndsProcess(const InstanceTask& task);

/// Whether the task ends the process and has not got past that step yet.
bool IsBeforeProcessEnd(const InstanceTask& task);

/// Whether the step waits for what only a poll of the instance tells.
bool AwaitsObservation(Step step);

/// The message of a task that has succeeded.
std::string_view SuccessMessage(Verb verb);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_TASK_STEPS_H_
