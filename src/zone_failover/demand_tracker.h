// SPDX-License-Identifier: Apache-2.0
/// @file
/// Tracks how much work clients request from each zone's members, including lost members. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_DEMAND_TRACKER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_DEMAND_TRACKER_H_

#include <vector>

#include "zone_failover/member_tracker.h"

namespace badgerbridge::zone_failover {

/// Demand by zone, in work per ms.
class DemandTracker {
 public:
  /// Creates a tracker for `zones` zones without any demand.
  explicit DemandTracker(std::size_t zones) : full_demand_(zones), peak_(zones) {}

  /// Clears the demand of all zones.
  void Reset();
  /// Starts from the demand in an earlier leader's decision.
  void Restore(const Decision& decision);
  /// Returns the demand by zone. `elapsed_ms` is the time since the last call, by which the peak decays.
  std::vector<double> Update(double elapsed_ms, const Snapshot& snapshot,
                             const std::vector<LostMember>& lost_members);
  /// Recent peak of the demand by zone; decays with a half-life of 5 s.
  const std::vector<double>& peak() const { return peak_; }

 private:
  std::vector<double> full_demand_;  // by zone, when all of its members were last present
  std::vector<double> peak_;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_DEMAND_TRACKER_H_
