// SPDX-License-Identifier: Apache-2.0
/// @file
/// Limits wanted grants so that no mix of old and new epochs overloads a receiver. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_GRANT_LIMITER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_GRANT_LIMITER_H_

#include <cstddef>
#include <vector>

#include "zone_failover/epoch_history.h"

namespace badgerbridge::zone_failover {

/// What is wanted of one receiver, and what bounds it; work a ms.
struct ReceiverDemand {
  std::size_t zone = 0;        ///< the receiver
  std::vector<double> wanted;  ///< by origin; kUnlimited is possible for the zone's own members alone
  double own_demand = 0;       ///< of its own members, while some of them may send without limit
  double limit = 0;            ///< of all members in total
};

/// By origin: as much of what is wanted as fits under the limit in two ways: once all members that are
/// present act on it, and meanwhile, while each may act on the larger of its old share and its new one.
/// `members` are, by zone, those that share a grant; `holders` all that may act on some epoch.
std::vector<double> LimitGrants(const ReceiverDemand& demand, const std::vector<int>& members,
                                const std::vector<GrantHolders>& holders, const GrantBounds& bounds);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_GRANT_LIMITER_H_
