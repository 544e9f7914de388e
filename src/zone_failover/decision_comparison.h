// SPDX-License-Identifier: Apache-2.0
/// @file
/// How much one decision differs from another. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_DECISION_COMPARISON_H_
#define BADGERBRIDGE_ZONE_FAILOVER_DECISION_COMPARISON_H_

#include "badgerbridge/balancer.h"
#include "zone_failover/decision.h"

namespace badgerbridge::zone_failover {

/// Whether `next` differs enough to be written over `previous`, `since_last` after the last one was written:
/// small changes of grants wait, and no decision is written within 150 ms of another.
bool IsWorthWriting(const Decision& previous, const Decision& next, balancer::Duration since_last);

/// Whether members of some zone are granted less than half as much in other zones by `next` as by `other`.
bool ReducesGrants(const Decision& other, const Decision& next);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_DECISION_COMPARISON_H_
