// SPDX-License-Identifier: Apache-2.0
/// @file
/// Limits the wanted grants so that no combination of old and new epochs overloads a receiver. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_GRANT_LIMITER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_GRANT_LIMITER_H_

#include <cstddef>
#include <vector>

#include "zone_failover/epoch_history.h"

namespace badgerbridge::zone_failover {

/// The wanted grants of one receiver and their bounds, in work per ms.
struct ReceiverDemand {
  std::size_t zone = 0;        ///< index of the receiver
  std::vector<double> wanted;  ///< by origin; only the receiver's own members may have kUnlimited
  double own_demand = 0;       ///< demand of its own members while some of them may send without a limit
  double limit = 0;            ///< limit of all members together
};

/// Returns the grants by origin: as much of the wanted grants as fits under the limit in two situations. The
/// first is when all present members act on the new grants. The second is the transition, when each member
/// may act on the larger of its old share and its new one. `members` is the number of members by zone that
/// share a grant; `holders` are all members that may act on any epoch.
std::vector<double> LimitGrants(const ReceiverDemand& demand, const std::vector<int>& members,
                                const std::vector<GrantHolders>& holders, const GrantBounds& bounds);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_GRANT_LIMITER_H_
