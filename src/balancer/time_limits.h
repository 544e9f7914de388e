// SPDX-License-Identifier: Apache-2.0
/// \file
/// A time point in the infinite future.
#ifndef BADGERBRIDGE_BALANCER_TIME_LIMITS_H_
#define BADGERBRIDGE_BALANCER_TIME_LIMITS_H_

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// Later than the time of any event; stands for "no timer is pending".
constexpr TimePoint kNever{Duration(1e300)};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_TIME_LIMITS_H_
