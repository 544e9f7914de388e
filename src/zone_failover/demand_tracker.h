// SPDX-License-Identifier: Apache-2.0
/// @file
/// How much work clients ask of each zone's members, also while members are lost. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_DEMAND_TRACKER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_DEMAND_TRACKER_H_

#include <vector>

#include "zone_failover/member_tracker.h"

namespace badgerbridge::zone_failover {

/// Demand by zone, in work a ms.
class DemandTracker {
 public:
  /// For an installation of `zones` zones.
  explicit DemandTracker(std::size_t zones) : full_demand_(zones), peak_(zones) {}

  /// Forgets all.
  void Reset();
  /// Goes on from what an earlier leader has decided.
  void Restore(const Decision& decision);
  /// By zone: what clients ask of its members; `elapsed_ms` since the last call, for the peak's decay.
  std::vector<double> Update(double elapsed_ms, const Snapshot& snapshot,
                             const std::vector<LostMember>& lost_members);
  /// By zone: the most demand lately; halved in 5 s.
  const std::vector<double>& peak() const { return peak_; }

 private:
  std::vector<double> full_demand_;  // by zone: when all of its members were last present
  std::vector<double> peak_;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_DEMAND_TRACKER_H_
