// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What a task is doing, in words for people.
#ifndef BADGERBRIDGE_AGENT_STEP_DESCRIPTION_H_
#define BADGERBRIDGE_AGENT_STEP_DESCRIPTION_H_

#include <string>

#include "agent/fleet_state.h"

namespace badgerbridge::agent {

/// What the task is doing now, without the time; the wire name of its state if it has ended.
std::string DescribeStep(const FleetState& state, const OrderState& order, const InstanceTask& task);

/// A duration in seconds, rounded to tenths: "3.7 s".
std::string FormatSeconds(Time time);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_STEP_DESCRIPTION_H_
