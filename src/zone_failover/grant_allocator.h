// SPDX-License-Identifier: Apache-2.0
/// @file
/// Computes the grants and the standby capacity of each origin at each receiver from the demand, the states
/// and limits of the zones, and the grants that members may still act on. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_GRANT_ALLOCATOR_H_
#define BADGERBRIDGE_ZONE_FAILOVER_GRANT_ALLOCATOR_H_

#include <cstddef>
#include <vector>

#include "zone_failover/epoch_history.h"
#include "zone_failover/member_tracker.h"
#include "zone_failover/zone_observer.h"
#include "zone_failover/zone_state_machine.h"

namespace badgerbridge::zone_failover {

/// Demand by zone, in work per ms.
struct ZoneDemand {
  std::vector<double> current;  ///< current demand of the zone's members
  std::vector<double> peak;     ///< recent maximum of `current`
  double total = 0;             ///< sum of `current`
};

/// Input of the allocation; the referenced objects must outlive the call.
struct AllocationInput {
  const ZoneDemand& demand;                     ///< demand of all zones
  const ZoneStates& zones;                      ///< states and limits of all zones
  const ZoneObserver& observer;                 ///< circuit breakers between zones
  const std::vector<LostMember>& lost_members;  ///< members whose standby capacity is reserved
  const EpochHistory& history;                  ///< epochs that members may act on
};

/// Computes the grants and the standby capacity of a decision. Keeps no state between calls.
class GrantAllocator {
 public:
  /// Orders the receivers of each origin; `settings` must outlive this object.
  explicit GrantAllocator(const FailoverSettings& settings);

  /// Sets the grants and the standby capacity of `next` for the members that its zones count. `holders` are
  /// all members that may act on any epoch while `next` is in force.
  void Allocate(const AllocationInput& input, const std::vector<GrantHolders>& holders, Decision* next) const;

 private:
  // Demand and spare capacity of a zone before the allocation to other zones.
  struct ZoneNeeds {
    double spare_capacity = 0;  // available to other zones
    double overflow = 0;        // demand that other zones have to serve
    double own_grant = 0;       // for its own members; kUnlimited: without a limit
    double max_own_demand = 0;  // of its own members while some of them may send without a limit
  };

  std::vector<double> ReservedForLost(const AllocationInput& input, const Decision& next) const;
  ZoneNeeds NeedsOf(const AllocationInput& input, std::size_t zone, double reserved) const;
  Matrix DistributeOverflow(const AllocationInput& input, const std::vector<double>& overflow,
                            std::vector<double>* spare_capacity) const;
  Matrix WantedGrants(const AllocationInput& input, const std::vector<ZoneNeeds>& needs,
                      std::vector<double>* spare_capacity) const;
  Matrix StandbyGrants(const AllocationInput& input, const std::vector<double>& spare_capacity) const;

  const FailoverSettings& settings_;
  std::vector<std::vector<std::size_t>> receivers_;  // by origin; by ascending price, then round trip
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_GRANT_ALLOCATOR_H_
