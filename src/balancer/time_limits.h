// SPDX-License-Identifier: Apache-2.0
/// \file
/// The time point that no clock reaches.
#ifndef FORDLB_SRC_BALANCER_TIME_LIMITS_H_
#define FORDLB_SRC_BALANCER_TIME_LIMITS_H_

#include "fordlb/balancer.h"

namespace fordlb {

/// Later than every time of an event; stands for "no timer is pending".
constexpr TimePoint kNever{Duration(1e300)};

}  // namespace fordlb

#endif  // FORDLB_SRC_BALANCER_TIME_LIMITS_H_
