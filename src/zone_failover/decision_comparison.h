// SPDX-License-Identifier: Apache-2.0
/// @file
/// Comparison of two decisions. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_DECISION_COMPARISON_H_
#define BADGERBRIDGE_ZONE_FAILOVER_DECISION_COMPARISON_H_

#include "badgerbridge/balancer.h"
#include "zone_failover/decision.h"

namespace badgerbridge::zone_failover {

/// True if `next` differs enough from `previous` to be written, `since_last` after the last write. Small
/// changes of grants are delayed, and two writes are at least 150 ms apart.
bool ShouldWrite(const Decision& previous, const Decision& next, balancer::Duration since_last);

/// True if some origin's limited grants in `next` total less than half of those in `other`.
bool ReducesGrants(const Decision& other, const Decision& next);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_DECISION_COMPARISON_H_
