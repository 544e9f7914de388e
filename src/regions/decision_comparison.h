// SPDX-License-Identifier: Apache-2.0
/// @file
/// How much one decision differs from another. Pure.
#ifndef BADGERBRIDGE_REGIONS_DECISION_COMPARISON_H_
#define BADGERBRIDGE_REGIONS_DECISION_COMPARISON_H_

#include "fordlb/balancer.h"
#include "regions/decision.h"

namespace badgerbridge::regions {

/// Whether `next` differs enough to be written over `previous`, `since_last` after the last one was written:
/// small changes of grants wait, and no decision is written within 150 ms of another.
bool IsWorthWriting(const Decision& previous, const Decision& next, fordlb::Duration since_last);

/// Whether members of some zone are granted less than half as much in other zones by `next` as by `other`.
bool ReducesGrants(const Decision& other, const Decision& next);

}  // namespace badgerbridge::regions

#endif  // BADGERBRIDGE_REGIONS_DECISION_COMPARISON_H_
