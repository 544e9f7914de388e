// SPDX-License-Identifier: Apache-2.0
//
// Many members over one etcd, from fixed seeds: stopped, isolated, dead, slow, with clocks that drift, with
// calls that are done and whose reply is lost, with orders, with an etcd that is gone or restored from a
// backup. At each step the total over all members is checked against what each zone has shown
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

// Four times ten seeds of 8,000 steps.
class ZoneFailoverRandom : public ::testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, ZoneFailoverRandom, ::testing::Values(1, 11, 21, 31));

// One epoch, one leader, every member admitted, every zone healthy.
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

TEST_P(ZoneFailoverRandom, TotalStaysUnderEachZonesLimitAndAllMembersEndInOneEpoch) {
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
    // The limit was reached: totals that stay far below it would show nothing.
    EXPECT_GT(installation.max_limit_use(), 0.9) << "seed " << seed;
  }
}

}  // namespace
}  // namespace badgerbridge::zone_failover
