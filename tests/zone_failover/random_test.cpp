// SPDX-License-Identifier: Apache-2.0
//
// Random tests with fixed seeds of many members with one etcd. Faults: members that are stopped, isolated or
// dead, drifting clocks, failing zones, lost calls and replies, evacuation orders, and an etcd that is
// unavailable or restored from a backup. Each step checks the total of all members against each zone's limit
// (installation.h).
#include <gtest/gtest.h>

#include <set>

#include "zone_failover/installation.h"

namespace badgerbridge::zone_failover {
namespace {

constexpr int kMembers = 16;
constexpr int kStepsToStart = 500;
constexpr int kStepsWithFaults = 3000;
constexpr int kStepsToSettle = 4500;

// Four instances of ten seeds with 8,000 steps each.
class ZoneFailoverRandom : public ::testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, ZoneFailoverRandom, ::testing::Values(1, 11, 21, 31));

// Expects adjacent epochs, one leader, all members admitted and all zones healthy.
void ExpectSettled(const Installation& installation, std::uint64_t seed) {
  std::set<std::uint64_t> epochs;
  int leaders = 0;
  for (const SimulatedMember& one : installation.members()) {
    ASSERT_TRUE(one.member->decision()) << one.member->last_error();
    epochs.insert(one.member->decision()->epoch);
    leaders += one.member->is_leader();
    EXPECT_TRUE(one.member->IsAdmitted()) << one.name << ": " << one.member->last_error();
    EXPECT_EQ(one.member->ZoneQuotas(installation.ClockOf(one))[one.zone], kUnlimited)
        << "seed " << seed << " " << one.name;
  }
  EXPECT_EQ(leaders, 1) << "seed " << seed;
  EXPECT_LE(*epochs.rbegin() - *epochs.begin(), 1u) << "seed " << seed;
  for (const Decision::Zone& zone : installation.newest_decision().zones)
    EXPECT_EQ(zone.state, ZoneState::kHealthy) << zone.reason;
}

TEST_P(ZoneFailoverRandom, TotalStaysWithinZoneLimitsAndMembersConvergeAfterFaults) {
  for (std::uint64_t seed = GetParam(); seed < GetParam() + 10; ++seed) {
    Installation installation(seed, kMembers);
    for (int i = 0; i < kStepsToStart; ++i) installation.Step();
    for (int i = 0; i < kStepsWithFaults && !::testing::Test::HasFailure(); ++i) {
      installation.MaybeFault();
      installation.Step();
    }
    if (::testing::Test::HasFailure()) FAIL() << "seed " << seed;
    installation.EndFaults();
    for (int i = 0; i < kStepsToSettle; ++i) installation.Step();
    if (::testing::Test::HasFailure()) FAIL() << "seed " << seed << ", after the faults ended";
    ExpectSettled(installation, seed);
    // Totals far below the limit would not exercise the invariant.
    EXPECT_GT(installation.max_limit_use(), 0.9) << "seed " << seed;
  }
}

}  // namespace
}  // namespace badgerbridge::zone_failover
