// SPDX-License-Identifier: Apache-2.0
//
// What an operator's order to leave a zone would do, reckoned from the decision in force. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_EVACUATION_H_
#define BADGERBRIDGE_ZONE_FAILOVER_EVACUATION_H_

#include <vector>

#include "zone_failover/decision.h"

namespace badgerbridge::zone_failover {

struct Evacuation {
  struct Receiver {
    std::size_t zone = 0;
    double carries = 0, would = 0, limit = 0;  // work a ms: now, then, and at most
  };
  double moved = 0;                 // what the zone carries now
  std::vector<Receiver> receivers;  // every other zone that may help, the nearest first
  double unplaced = 0;              // of `moved`: for which nobody has room
};

// Fills the sound zones with room, the nearest first (by price, then round trip), leaving out those whose
// round trip is half of `aim` (ms) or more.
Evacuation PlanEvacuation(const Decision& decision, const Matrix& round_trip, const Matrix& price,
                          double latency_objective, std::size_t zone);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_EVACUATION_H_
