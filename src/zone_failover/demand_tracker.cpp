// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/demand_tracker.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::zone_failover {
namespace {

constexpr double kPeakHalfLifeMs = 5000;

}  // namespace

void DemandTracker::Reset() {
  full_demand_.assign(full_demand_.size(), 0);
  peak_.assign(peak_.size(), 0);
}

void DemandTracker::Restore(const Decision& decision) {
  for (std::size_t zone = 0; zone < peak_.size(); ++zone) {
    full_demand_[zone] = decision.zones[zone].demand;
    peak_[zone] = decision.zones[zone].demand;
  }
}

// A lost member may be dead, with its clients moved to other members of the zone, or it may be out of contact
// and still serve its clients. The returned demand therefore includes the demand of lost members, up to the
// zone's demand while all of its members were present.
std::vector<double> DemandTracker::Update(double elapsed_ms, const Snapshot& snapshot,
                                          const std::vector<LostMember>& lost_members) {
  std::vector<double> demand(peak_.size());
  std::vector<double> lost(peak_.size());
  for (const MemberReport& report : snapshot.reports) demand[report.zone()] += report.load.demand;
  for (const LostMember& member : lost_members) lost[member.zone] += member.demand;
  for (std::size_t zone = 0; zone < demand.size(); ++zone) {
    if (lost[zone] <= 0) full_demand_[zone] = demand[zone];
    demand[zone] = std::max(demand[zone], std::min(demand[zone] + lost[zone], full_demand_[zone]));
    peak_[zone] = std::max(demand[zone], peak_[zone] * std::exp2(-elapsed_ms / kPeakHalfLifeMs));
  }
  return demand;
}

}  // namespace badgerbridge::zone_failover
