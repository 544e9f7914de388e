// SPDX-License-Identifier: Apache-2.0
/// @file
/// What members of each origin may send to each receiver: grants and standby that follow from demand, the
/// zones' states and limits, and what members may still act on. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_GRANT_ALLOCATOR_H_
#define BADGERBRIDGE_ZONE_FAILOVER_GRANT_ALLOCATOR_H_

#include <cstddef>
#include <vector>

#include "zone_failover/epoch_history.h"
#include "zone_failover/member_tracker.h"
#include "zone_failover/zone_observer.h"
#include "zone_failover/zone_state_machine.h"

namespace badgerbridge::zone_failover {

/// Demand by zone, in work a ms.
struct ZoneDemand {
  std::vector<double> current;  ///< what clients ask of the zone's members
  std::vector<double> peak;     ///< the most of it lately
  double total = 0;             ///< sum of `current`
};

/// What grants are computed from; all of it must outlive the call.
struct AllocationInput {
  const ZoneDemand& demand;                     ///< of all zones
  const ZoneStates& zones;                      ///< their states and limits
  const ZoneObserver& observer;                 ///< circuits of pairs of zones
  const std::vector<LostMember>& lost_members;  ///< whose standby capacity is kept free
  const EpochHistory& history;                  ///< epochs that may be in force
};

/// Computes the grants and the standby of a decision. Holds no state between calls.
class GrantAllocator {
 public:
  /// `settings` must outlive this.
  explicit GrantAllocator(const FailoverSettings& settings);

  /// Sets `next`'s grants and standby, for the members that its zones count; `holders` are all members that
  /// may act on some epoch while `next` is in force.
  void Allocate(const AllocationInput& input, const std::vector<GrantHolders>& holders, Decision* next) const;

 private:
  // Of each zone, before anything is given to others.
  struct ZoneNeeds {
    double spare_capacity = 0;  // for other zones
    double overflow = 0;        // demand that other zones would have to serve
    double own = 0;             // that it serves itself; kUnlimited: without limit
    double own_max = 0;         // while some of its members may still send without limit
  };

  std::vector<double> ReservedForLost(const AllocationInput& input, const Decision& next) const;
  ZoneNeeds NeedsOf(const AllocationInput& input, std::size_t zone, double reserved) const;
  Matrix DistributeOverflow(const AllocationInput& input, const std::vector<double>& overflow,
                            std::vector<double>* spare_capacity) const;
  Matrix WantedGrants(const AllocationInput& input, const std::vector<ZoneNeeds>& needs,
                      std::vector<double>* spare_capacity) const;
  Matrix StandbyGrants(const AllocationInput& input, const std::vector<double>& spare_capacity) const;

  const FailoverSettings& settings_;
  std::vector<std::vector<std::size_t>> receivers_;  // by origin, the cheapest and then the nearest first
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_GRANT_ALLOCATOR_H_
