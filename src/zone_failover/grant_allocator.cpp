// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/grant_allocator.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "zone_failover/grant_limiter.h"

namespace badgerbridge::zone_failover {
namespace {

// The rest of the remaining spare capacity stays free for standby.
constexpr double kOptionalGrantShare = 0.9;
// Share of its limit that a zone with an open circuit to itself grants to its own members.
constexpr double kOpenCircuitLimitShare = 0.01;
constexpr double kMinPeakDemandShare = 0.9;
constexpr int kDistributionRounds = 50;

// Returns the receivers whose round trip leaves time for an answer, by ascending transfer price, then round
// trip.
std::vector<std::size_t> ReceiversOf(const FailoverSettings& settings, std::size_t origin) {
  std::vector<std::size_t> receivers(settings.zones);
  std::iota(receivers.begin(), receivers.end(), 0);
  std::erase(receivers, origin);
  std::erase_if(receivers, [&](std::size_t receiver) {
    return settings.round_trip_ms.at(origin, receiver) >= settings.latency_objective_ms / 2;
  });
  const auto cost = [&](std::size_t receiver) {
    return std::pair(settings.transfer_price.at(origin, receiver),
                     settings.round_trip_ms.at(origin, receiver));
  };
  std::stable_sort(receivers.begin(), receivers.end(),
                   [&](std::size_t left, std::size_t right) { return cost(left) < cost(right); });
  return receivers;
}

// Returns the part of the remaining spare capacity of `receiver` that members of `origin` may use without
// need. It is proportional to the origin's share of the demand of all zones except the receiver.
double OptionalGrant(const ZoneDemand& demand, const std::vector<double>& spare_capacity, std::size_t origin,
                     std::size_t receiver) {
  const double receiver_demand = demand.current[receiver];
  if (origin == receiver || demand.total <= receiver_demand) return 0;
  return kOptionalGrantShare * spare_capacity[receiver] * demand.current[origin] /
         (demand.total - receiver_demand);
}

}  // namespace

GrantAllocator::GrantAllocator(const FailoverSettings& settings) : settings_(settings) {
  for (std::size_t origin = 0; origin < settings.zones; ++origin)
    receivers_.push_back(ReceiversOf(settings, origin));
}

// Returns by receiver the standby capacity that lost members may use. Takes the maximum over the origins,
// because standby capacity covers the loss of one zone.
std::vector<double> GrantAllocator::ReservedForLost(const AllocationInput& input,
                                                    const Decision& next) const {
  std::vector<double> reserved(settings_.zones);
  Matrix by_origin(settings_.zones);
  for (const LostMember& lost : input.lost_members) {
    const Decision::Zone& decided = next.zones[lost.zone];
    const int sharing = std::max(1, decided.members + decided.lost_members);
    for (std::size_t receiver = 0; receiver < settings_.zones; ++receiver) {
      const double standby = lost.max_standby[receiver];
      double& sum = by_origin.at(lost.zone, receiver);
      sum = std::min(standby, sum + standby / sharing);
      reserved[receiver] = std::max(reserved[receiver], sum);
    }
  }
  return reserved;
}

GrantAllocator::ZoneNeeds GrantAllocator::NeedsOf(const AllocationInput& input, std::size_t zone,
                                                  double reserved) const {
  const ZoneStateMachine& state = input.zones[zone];
  const bool is_healthy = state.state() == ZoneState::kHealthy;
  const bool fails_own_members = input.observer.IsCircuitOpen(zone, zone);
  const double limit = state.EffectiveLimit();
  const double demand = input.demand.current[zone];
  const double peak = input.demand.peak[zone];
  const double own_grant = std::min(demand, fails_own_members ? kOpenCircuitLimitShare * limit : limit);
  ZoneNeeds needs;
  needs.own_grant = is_healthy && !fails_own_members ? kUnlimited : own_grant;
  // A member that was stopped for a moment reports little demand for a second, so the peak counts instead.
  needs.max_own_demand = std::min(demand < kMinPeakDemandShare * peak ? peak : demand, limit);
  needs.spare_capacity = is_healthy ? std::max(0.0, limit - needs.max_own_demand - reserved) : 0;
  needs.overflow = std::max(0.0, demand - own_grant);
  return needs;
}

// Assigns the overflow of each origin to its preferred receivers with spare capacity, and reduces that
// capacity. The origins take spare capacity in turn, in several rounds.
Matrix GrantAllocator::DistributeOverflow(const AllocationInput& input, const std::vector<double>& overflow,
                                          std::vector<double>* spare_capacity) const {
  Matrix grants(settings_.zones);
  for (int round = 0; round < kDistributionRounds; ++round) {
    for (std::size_t origin = 0; origin < settings_.zones; ++origin) {
      double remaining = overflow[origin] / kDistributionRounds;
      for (const std::size_t receiver : receivers_[origin]) {
        if (remaining <= 0) break;
        double& spare = (*spare_capacity)[receiver];
        if (spare <= 0 || input.observer.IsCircuitOpen(origin, receiver)) continue;
        const double part = std::min(remaining, spare);
        grants.at(origin, receiver) += part;
        spare -= part;
        remaining -= part;
      }
    }
  }
  return grants;
}

// Returns the grants as they would be if no older epoch were in force.
Matrix GrantAllocator::WantedGrants(const AllocationInput& input, const std::vector<ZoneNeeds>& needs,
                                    std::vector<double>* spare_capacity) const {
  std::vector<double> overflow;
  for (const ZoneNeeds& zone : needs) overflow.push_back(zone.overflow);
  Matrix wanted = DistributeOverflow(input, overflow, spare_capacity);
  for (std::size_t receiver = 0; receiver < settings_.zones; ++receiver) {
    const bool is_healthy = input.zones[receiver].state() == ZoneState::kHealthy;
    for (std::size_t origin = 0; origin < settings_.zones; ++origin) {
      double& grant = wanted.at(origin, receiver);
      if (origin == receiver) {
        grant = needs[receiver].own_grant;
      } else if (!is_healthy || input.observer.IsCircuitOpen(origin, receiver)) {
        grant = 0;
      } else {
        grant += OptionalGrant(input.demand, *spare_capacity, origin, receiver);
      }
    }
  }
  return wanted;
}

// Returns the standby capacity for the loss of one zone while there is no leader: the spare capacity minus
// the optional grants that the other zones may still use.
Matrix GrantAllocator::StandbyGrants(const AllocationInput& input,
                                     const std::vector<double>& spare_capacity) const {
  Matrix standby(settings_.zones);
  for (std::size_t origin = 0; origin < settings_.zones; ++origin) {
    std::vector<double> overflow(settings_.zones);
    overflow[origin] = input.demand.current[origin];
    std::vector<double> remaining = spare_capacity;
    for (std::size_t receiver = 0; receiver < settings_.zones; ++receiver) {
      for (std::size_t other = 0; other < settings_.zones; ++other) {
        if (other != origin)
          remaining[receiver] -= OptionalGrant(input.demand, spare_capacity, other, receiver);
      }
    }
    const Matrix grants = DistributeOverflow(input, overflow, &remaining);
    for (std::size_t receiver = 0; receiver < settings_.zones; ++receiver)
      standby.at(origin, receiver) = grants.at(origin, receiver);
  }
  return standby;
}

void GrantAllocator::Allocate(const AllocationInput& input, const std::vector<GrantHolders>& holders,
                              Decision* next) const {
  const std::vector<double> reserved = ReservedForLost(input, *next);
  std::vector<ZoneNeeds> needs;
  std::vector<double> spare_capacity;
  std::vector<int> members;
  for (std::size_t zone = 0; zone < settings_.zones; ++zone) {
    needs.push_back(NeedsOf(input, zone, reserved[zone]));
    spare_capacity.push_back(needs.back().spare_capacity);
    members.push_back(std::max(1, next->zones[zone].members));
  }
  const Matrix wanted = WantedGrants(input, needs, &spare_capacity);
  next->standby = StandbyGrants(input, spare_capacity);
  next->grants = Matrix(settings_.zones);
  const GrantBounds bounds(input.history);
  for (std::size_t receiver = 0; receiver < settings_.zones; ++receiver) {
    const ZoneStateMachine& state = input.zones[receiver];
    // In a zone that is not healthy, the reserve for lost members would use up the whole trial limit.
    const double reserved_for_lost = state.state() == ZoneState::kHealthy ? reserved[receiver] : 0;
    ReceiverDemand demand;
    demand.zone = receiver;
    for (std::size_t origin = 0; origin < settings_.zones; ++origin)
      demand.wanted.push_back(wanted.at(origin, receiver));
    demand.own_demand = needs[receiver].max_own_demand;
    demand.limit = std::max(0.0, state.EffectiveLimit() - reserved_for_lost);
    const std::vector<double> grants = LimitGrants(demand, members, holders, bounds);
    for (std::size_t origin = 0; origin < settings_.zones; ++origin)
      next->grants.at(origin, receiver) = grants[origin];
  }
}

}  // namespace badgerbridge::zone_failover
