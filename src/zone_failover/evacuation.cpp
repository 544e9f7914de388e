// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/evacuation.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::zone_failover {

Evacuation PlanEvacuation(const Decision& decision, const Matrix& round_trip, const Matrix& price,
                          double latency_objective, std::size_t zone) {
  Evacuation plan;
  const Decision::Zone& left = decision.zones[zone];
  plan.moved = std::max(left.carried, std::min(left.demand, left.limit));
  for (std::size_t r = 0; r < decision.zones.size(); ++r) {
    const Decision::Zone& z = decision.zones[r];
    if (r == zone || z.state != ZoneState::kSound || round_trip.at(zone, r) >= latency_objective / 2)
      continue;
    plan.receivers.push_back({r, z.carried, z.carried, z.limit});
  }
  std::stable_sort(plan.receivers.begin(), plan.receivers.end(), [&](const auto& a, const auto& b) {
    return std::pair(price.at(zone, a.zone), round_trip.at(zone, a.zone)) <
           std::pair(price.at(zone, b.zone), round_trip.at(zone, b.zone));
  });
  plan.unplaced = plan.moved;
  for (Evacuation::Receiver& one : plan.receivers) {
    const double part = std::clamp(one.limit - one.carries, 0.0, plan.unplaced);
    one.would += part;
    plan.unplaced -= part;
  }
  return plan;
}

}  // namespace badgerbridge::zone_failover
