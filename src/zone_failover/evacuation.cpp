// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/evacuation.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::zone_failover {

EvacuationPlan PlanEvacuation(const Decision& decision, const ZoneLinks& links, double latency_objective_ms,
                              std::size_t zone) {
  EvacuationPlan plan;
  const Decision::Zone& evacuated = decision.zones[zone];
  plan.moved_load = std::max(evacuated.served, std::min(evacuated.demand, evacuated.limit));
  for (std::size_t receiver = 0; receiver < decision.zones.size(); ++receiver) {
    const Decision::Zone& decided = decision.zones[receiver];
    if (receiver == zone || decided.state != ZoneState::kHealthy) continue;
    if (links.round_trip_ms.at(zone, receiver) >= latency_objective_ms / 2) continue;
    plan.receivers.push_back({receiver, decided.served, decided.served, decided.limit});
  }
  const auto cost = [&](const EvacuationPlan::Receiver& receiver) {
    return std::pair(links.transfer_price.at(zone, receiver.zone),
                     links.round_trip_ms.at(zone, receiver.zone));
  };
  std::stable_sort(plan.receivers.begin(), plan.receivers.end(),
                   [&](const auto& left, const auto& right) { return cost(left) < cost(right); });
  plan.unplaced_load = plan.moved_load;
  for (EvacuationPlan::Receiver& receiver : plan.receivers) {
    const double part = std::clamp(receiver.limit - receiver.load, 0.0, plan.unplaced_load);
    receiver.planned_load += part;
    plan.unplaced_load -= part;
  }
  return plan;
}

}  // namespace badgerbridge::zone_failover
