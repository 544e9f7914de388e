// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What a task is doing, in words for people.
#ifndef BADGERBRIDGE_FLEET_STEP_DESCRIPTION_H_
#define BADGERBRIDGE_FLEET_STEP_DESCRIPTION_H_

#include <string>

#include "fleet/fleet_state.h"

namespace badgerbridge::fleet {

/// What the task is doing now, without the time; the wire name of its state if it has ended.
std::string DescribeStep(const FleetState& state, const OrderState& order, const InstanceTask& task);

/// A duration in seconds, rounded to tenths: "3.7 s".
std::string FormatSeconds(Time time);

}  // namespace badgerbridge::fleet

#endif  // BADGERBRIDGE_FLEET_STEP_DESCRIPTION_H_
