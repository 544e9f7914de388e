// SPDX-License-Identifier: Apache-2.0
//
// The leader alone, with constructed snapshots of situations that are rare among many simulated members.
#include "zone_failover/failover_leader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace badgerbridge::zone_failover {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(1e6 + ms)); }

// Two zones of two members each, with a demand of 1 per member unless a test changes it.
struct LeaderFixture {
  LeaderFixture() {
    FailoverSettings settings;
    settings.zones = 2;
    settings.round_trip_ms = Matrix(2, 2);
    settings.transfer_price = Matrix(2, 1);
    leader = std::make_unique<FailoverLeader>(settings);
    for (int i = 0; i < 4; ++i) {
      MemberReport report;
      report.member = "n" + std::to_string(i);
      report.create_revision = 10 + i;
      report.load.zone = i / 2;
      report.load.demand = 1;
      report.load.zones.resize(2);
      for (ZoneLoad& z : report.load.zones) {
        z.attempts = 20;
        z.latency_ms = 20;
        z.warm_backends = 10;
      }
      snapshot.reports.push_back(report);
    }
  }
  // Advances the time by 250 ms. All members except `out_of_contact` confirm the resulting decision.
  void Step(const std::string& out_of_contact = "") {
    now_ms += 250;
    snapshot.revision = 100 + static_cast<std::int64_t>(now_ms);
    for (MemberReport& report : snapshot.reports) {
      for (std::size_t z = 0; z < 2; ++z) {
        report.load.zones[z].served =
            z == static_cast<std::size_t>(report.load.zone) ? report.load.demand : 0;
        report.load.zones[z].utilization = utilization;
      }
    }
    if (auto next = leader->NextDecision(At(now_ms), snapshot, "n0")) snapshot.decision = std::move(next);
    for (MemberReport& report : snapshot.reports) {
      if (report.member != out_of_contact && snapshot.decision) report.load.epoch = snapshot.decision->epoch;
    }
  }
  double GrantOf(std::size_t origin, std::size_t receiver) const {
    return snapshot.decision->grants.at(origin, receiver);
  }
  std::unique_ptr<FailoverLeader> leader;
  Snapshot snapshot;
  double now_ms = 0;
  double utilization = 0.3;
};

// A member that never confirms an epoch, or publishes wrong epochs, must neither let the history grow without
// bound nor prevent grants to other members.
TEST(FailoverLeader, MemberThatNeverConfirmsKeepsHistoryBounded) {
  LeaderFixture fixture;
  for (int i = 0; i < 20; ++i) fixture.Step();
  const std::uint64_t before = fixture.snapshot.decision->epoch;
  for (int i = 0; i < 2000; ++i) {
    fixture.snapshot.reports[0].load.demand = i / 9 % 2 ? 1 : 3;  // changes the decision
    fixture.Step("n3");
    ASSERT_LE(fixture.leader->epochs(), 65u);
  }
  EXPECT_GT(fixture.snapshot.decision->epoch, before + 65);  // the history reached its bound
  EXPECT_GT(fixture.GrantOf(0, 1), 0);
  // Once the member confirms again, its old epochs are dropped.
  for (int i = 0; i < 20; ++i) fixture.Step();
  EXPECT_LT(fixture.leader->epochs(), 8u);
}

// While all receivers are full, no spare capacity becomes available for the share of a returning member. Its
// admission must not wait for such capacity.
TEST(FailoverLeader, MemberReturningWhileReceiversAreFullIsReadmittedWithinASecond) {
  LeaderFixture fixture;
  for (MemberReport& report : fixture.snapshot.reports) report.load.demand = report.load.zone == 0 ? 30 : 2;
  fixture.utilization = 0.95;
  for (int i = 0; i < 40; ++i) fixture.Step();
  MemberReport returned = fixture.snapshot.reports[1];
  fixture.snapshot.reports.erase(fixture.snapshot.reports.begin() + 1);
  for (int i = 0; i < 8; ++i) fixture.Step();  // within grant_hold, the other member uses the capacity
  returned.create_revision = 5000;
  returned.load.epoch = 0;  // a new process
  fixture.snapshot.reports.push_back(returned);
  for (int i = 0; i < 6; ++i) fixture.Step();
  const auto& readmitted = fixture.snapshot.decision->readmitted;
  EXPECT_TRUE(fixture.snapshot.decision->admitted_revision >= 5000 ||
              std::find(readmitted.begin(), readmitted.end(), MemberIncarnation{"n1", 5000}) !=
                  readmitted.end());
  for (int i = 0; i < 6; ++i) fixture.Step();
  EXPECT_GT(fixture.GrantOf(0, 1), 0);
}

// A successor without a roster (lost, or of another epoch) only has the number of missing members. It must
// reserve their shares until their grants have expired.
TEST(FailoverLeader, SuccessorWithoutRosterKeepsSharesOfMissingMembers) {
  for (const bool with_roster : {true, false}) {
    LeaderFixture fixture;
    for (int i = 0; i < 40; ++i) fixture.Step();
    ASSERT_GT(fixture.GrantOf(0, 1), 0);
    ASSERT_EQ(fixture.snapshot.decision->roster.size(), 4u);
    fixture.leader->BeginTerm();
    if (!with_roster) fixture.snapshot.decision->roster.clear();
    fixture.snapshot.reports.erase(fixture.snapshot.reports.begin() + 1);  // n1, of zone 0
    fixture.Step();
    const Decision first = *fixture.snapshot.decision;
    EXPECT_EQ(first.zones[0].members, 2) << "it may still send";
    EXPECT_EQ(first.zones[0].lost_members, 0);
    for (int i = 0; i < 24; ++i) fixture.Step();  // grant_hold of 5 s expires
    EXPECT_EQ(fixture.snapshot.decision->zones[0].members, 1);
    EXPECT_EQ(fixture.snapshot.decision->zones[0].lost_members, 1);
    // With the roster the member is recognized by its name and takes its share. Without it, the member waits
    // like a new one.
    MemberReport returned;
    returned.member = "n1";
    returned.create_revision = 5000;
    returned.load = fixture.snapshot.reports[0].load;
    returned.load.epoch = 0;
    fixture.snapshot.reports.push_back(returned);
    for (int i = 0; i < 8; ++i) fixture.Step();
    EXPECT_EQ(fixture.snapshot.decision->zones[0].members, 2);
  }
}

}  // namespace
}  // namespace badgerbridge::zone_failover
