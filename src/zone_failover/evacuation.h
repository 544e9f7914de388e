// SPDX-License-Identifier: Apache-2.0
/// @file
/// What an operator's order to evacuate a zone would do, computed from the decision in force. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_EVACUATION_H_
#define BADGERBRIDGE_ZONE_FAILOVER_EVACUATION_H_

#include <cstddef>
#include <vector>

#include "zone_failover/decision.h"
#include "zone_failover/links.h"

namespace badgerbridge::zone_failover {

/// The result of planning an evacuation; loads in work a ms.
struct EvacuationPlan {
  /// A zone that takes over load.
  struct Receiver {
    std::size_t zone = 0;     ///< its index
    double load = 0;          ///< what it serves now
    double planned_load = 0;  ///< what it would serve
    double limit = 0;         ///< what it may be sent at most
  };
  double moved_load = 0;            ///< what the zone serves now
  std::vector<Receiver> receivers;  ///< every other zone that may help, in the order in which they are used
  double unplaced_load = 0;         ///< the part of `moved_load` for which no zone has spare capacity
};

/// Fills the healthy zones that have spare capacity, the cheapest and then the nearest first, leaving out
/// those whose round trip is half of `latency_objective_ms` or more. `zone` must be below the decision's
/// zones.
EvacuationPlan PlanEvacuation(const Decision& decision, const ZoneLinks& links, double latency_objective_ms,
                              std::size_t zone);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_EVACUATION_H_
