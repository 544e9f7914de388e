// SPDX-License-Identifier: Apache-2.0
/// @file
/// Predicts the effect of an operator's order to evacuate a zone from the decision in force. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_EVACUATION_H_
#define BADGERBRIDGE_ZONE_FAILOVER_EVACUATION_H_

#include <cstddef>
#include <vector>

#include "zone_failover/decision.h"
#include "zone_failover/links.h"

namespace badgerbridge::zone_failover {

/// The predicted effect of an evacuation; loads are in work per ms.
struct EvacuationPlan {
  /// A zone that takes over load.
  struct Receiver {
    std::size_t zone = 0;     ///< index of the zone
    double load = 0;          ///< current load
    double planned_load = 0;  ///< load during the evacuation
    double limit = 0;         ///< maximum load
  };
  double moved_load = 0;            ///< load to move out of the zone
  std::vector<Receiver> receivers;  ///< all eligible zones, in order of preference
  double unplaced_load = 0;         ///< part of `moved_load` for which no zone has spare capacity
};

/// Distributes the load of `zone` over the spare capacity of the healthy zones, by ascending transfer price,
/// then round trip. Zones with a round trip of at least half of `latency_objective_ms` are left out. `zone`
/// must be a valid index into the decision's zones.
EvacuationPlan PlanEvacuation(const Decision& decision, const ZoneLinks& links, double latency_objective_ms,
                              std::size_t zone);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_EVACUATION_H_
