// SPDX-License-Identifier: Apache-2.0
//
// What the files of the decider share and nobody else needs.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_DECIDER_INTERNAL_H_
#define BADGERBRIDGE_ZONE_FAILOVER_DECIDER_INTERNAL_H_

#include <algorithm>
#include <cstdint>

#include "zone_failover/decision.h"

namespace badgerbridge::zone_failover {

constexpr double kTrial = 0.02;                    // of what it has shown, for a zone that fails
constexpr double kBeyond = 1.25;                   // of the most that it has done, where they say nothing
constexpr std::uint64_t kNothingYet = UINT64_MAX;  // has not been granted anything

// Of two grants; one without limit is the largest.
inline double Larger(double a, double b) { return a == kFree || b == kFree ? kFree : std::max(a, b); }

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_DECIDER_INTERNAL_H_
