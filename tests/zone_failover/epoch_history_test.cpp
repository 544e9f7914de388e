// SPDX-License-Identifier: Apache-2.0
//
// Bounds of the grants of several epochs, and the limits that they set for new grants.
#include "zone_failover/epoch_history.h"

#include <gtest/gtest.h>

#include "zone_failover/grant_limiter.h"

namespace badgerbridge::zone_failover {
namespace {

// Two zones; two members of zone 0 share the grant for zone 1.
Decision DecisionOf(std::uint64_t epoch, double granted) {
  Decision decision;
  decision.epoch = epoch;
  decision.zones.resize(2);
  decision.zones[0].members = 2;
  decision.grants = Matrix(2);
  decision.grants.at(0, 1) = granted;
  decision.grant_ceiling = Matrix(2);
  decision.standby = Matrix(2);
  return decision;
}

GrantHolders MembersOfZone0(std::uint64_t oldest_epoch) { return {0, oldest_epoch, true, true, 2}; }

TEST(EpochHistory, BoundsCoverTheEpochsFromTheOldestOneOn) {
  EpochHistory history(2);
  history.Add(DecisionOf(1, 8));
  history.Add(DecisionOf(2, 2));
  history.Add(DecisionOf(3, 4));
  const GrantBounds bounds(history);
  EXPECT_EQ(bounds.Max(MembersOfZone0(1), 1), 4);  // half of 8
  EXPECT_EQ(bounds.Min(MembersOfZone0(1), 1), 1);
  EXPECT_EQ(bounds.Max(MembersOfZone0(2), 1), 2);
  EXPECT_EQ(bounds.Min(MembersOfZone0(3), 1), 2);
  EXPECT_EQ(bounds.Max(MembersOfZone0(kNoEpoch), 1), 0);
  history.DropBefore(3);
  EXPECT_EQ(history.size(), 1u);
}

TEST(EpochHistory, MergedEpochsKeepTheMaximumAndNoMinimum) {
  EpochHistory history(2);
  history.Add(DecisionOf(1, 8));
  for (std::uint64_t epoch = 2; epoch <= 70; ++epoch) history.Add(DecisionOf(epoch, 2));
  EXPECT_EQ(history.size(), 64u);
  const GrantBounds bounds(history);
  EXPECT_EQ(bounds.Max(MembersOfZone0(1), 1), 4);
  EXPECT_EQ(bounds.Min(MembersOfZone0(1), 1), 0);
  EXPECT_EQ(bounds.Min(MembersOfZone0(70), 1), 1);
  EXPECT_EQ(history.CeilingWith(DecisionOf(71, 20)).at(0, 1), 10);
}

TEST(LimitGrants, GrantGrowsOnlyIntoCapacityThatNoMemberMayStillUse) {
  EpochHistory history(2);
  history.Add(DecisionOf(1, 4));
  ReceiverDemand demand;
  demand.zone = 1;
  demand.wanted = {10, kUnlimited};
  demand.own_demand = 3;
  demand.limit = 10;
  const std::vector<int> members = {2, 1};
  const GrantHolders present = MembersOfZone0(1);
  GrantHolders lost = {0, 1, false, false, 1};
  // Without lost members, the origin gets all capacity that the zone's own members do not need.
  EXPECT_NEAR(LimitGrants(demand, members, {present}, GrantBounds(history))[0], 7, 1e-6);
  EXPECT_EQ(LimitGrants(demand, members, {present}, GrantBounds(history))[1], kUnlimited);
  // A lost member may still send its old share of 2, so the present member gets 5 of the 7.
  const GrantHolders one_present = {0, 1, true, true, 1};
  EXPECT_NEAR(LimitGrants(demand, members, {one_present, lost}, GrantBounds(history))[0] / 2, 5, 1e-6);
}

}  // namespace
}  // namespace badgerbridge::zone_failover
