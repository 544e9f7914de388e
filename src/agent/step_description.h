// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Readable texts for the steps of tasks.
#ifndef BADGERBRIDGE_AGENT_STEP_DESCRIPTION_H_
#define BADGERBRIDGE_AGENT_STEP_DESCRIPTION_H_

#include <string>

#include "agent/fleet_state.h"

namespace badgerbridge::agent {

/// A readable text of the current step, without its duration; the wire name of the state if the task has
/// ended.
std::string DescribeStep(const FleetState& state, const OrderState& order, const InstanceTask& task);

/// The duration in seconds, rounded to tenths: "3.7 s".
std::string FormatSeconds(Time time);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_STEP_DESCRIPTION_H_
