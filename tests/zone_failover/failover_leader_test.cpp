// SPDX-License-Identifier: Apache-2.0
//
// The leader by itself, over snapshots made by hand: what many members seldom bring about.
#include "zone_failover/failover_leader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace badgerbridge::zone_failover {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(1e6 + ms)); }

// Two zones of two members each; zone 0 is asked for what the caller says, zone 1 for little.
struct Table {
  Table() {
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
  // 250 ms on: what was decided is read by all but `out_of_contact`, a name.
  void Step(const std::string& out_of_contact = "") {
    now += 250;
    snapshot.revision = 100 + static_cast<std::int64_t>(now);
    for (MemberReport& report : snapshot.reports) {
      for (std::size_t z = 0; z < 2; ++z) {
        report.load.zones[z].served =
            z == static_cast<std::size_t>(report.load.zone) ? report.load.demand : 0;
        report.load.zones[z].utilization = utilization;
      }
    }
    if (auto next = leader->NextDecision(At(now), snapshot, "n0")) snapshot.decision = std::move(next);
    for (MemberReport& report : snapshot.reports) {
      if (report.member != out_of_contact && snapshot.decision) report.load.epoch = snapshot.decision->epoch;
    }
  }
  double Granted(std::size_t origin, std::size_t receiver) const {
    return snapshot.decision->grants.at(origin, receiver);
  }
  std::unique_ptr<FailoverLeader> leader;
  Snapshot snapshot;
  double now = 0;
  double utilization = 0.3;
};

// It, or one that publishes wrong epochs, must not make the history grow, nor keep the others from being
// served.
TEST(FailoverLeader, MemberThatNeverConfirmsKeepsHistoryBounded) {
  Table table;
  for (int i = 0; i < 20; ++i) table.Step();
  const std::uint64_t before = table.snapshot.decision->epoch;
  for (int i = 0; i < 2000; ++i) {
    table.snapshot.reports[0].load.demand = i / 9 % 2 ? 1 : 3;  // so that there is something to decide
    table.Step("n3");
    ASSERT_LE(table.leader->epochs(), 65u);
  }
  EXPECT_GT(table.snapshot.decision->epoch, before + 65);  // the bound was reached
  EXPECT_GT(table.Granted(0, 1), 0);
  // Once it confirms again, what was kept for it is forgotten.
  for (int i = 0; i < 20; ++i) table.Step();
  EXPECT_LT(table.leader->epochs(), 8u);
}

// Where every receiver is full, its share never just fits.
TEST(FailoverLeader, MemberThatReturnsWhileReceiversAreFullIsReadmittedWithinASecond) {
  Table table;
  for (MemberReport& report : table.snapshot.reports) report.load.demand = report.load.zone == 0 ? 30 : 2;
  table.utilization = 0.95;
  for (int i = 0; i < 40; ++i) table.Step();
  MemberReport back = table.snapshot.reports[1];
  table.snapshot.reports.erase(table.snapshot.reports.begin() + 1);
  for (int i = 0; i < 8; ++i) table.Step();  // within its grant_hold: the other one uses the capacity
  back.create_revision = 5000;
  back.load.epoch = 0;  // another process
  table.snapshot.reports.push_back(back);
  for (int i = 0; i < 6; ++i) table.Step();
  const auto& readmitted = table.snapshot.decision->readmitted;
  EXPECT_TRUE(table.snapshot.decision->admitted_revision >= 5000 ||
              std::find(readmitted.begin(), readmitted.end(), MemberIncarnation{"n1", 5000}) !=
                  readmitted.end());
  for (int i = 0; i < 6; ++i) table.Step();
  EXPECT_GT(table.Granted(0, 1), 0);
}

// A successor without a roster (lost, or of another epoch) knows only how many are missing, and waits for
// them.
TEST(FailoverLeader, SuccessorWithoutRosterKeepsSharesOfMissingMembers) {
  for (const bool with_roster : {true, false}) {
    Table table;
    for (int i = 0; i < 40; ++i) table.Step();
    ASSERT_GT(table.Granted(0, 1), 0);
    ASSERT_EQ(table.snapshot.decision->roster.size(), 4u);
    table.leader->BeginTerm();
    if (!with_roster) table.snapshot.decision->roster.clear();
    table.snapshot.reports.erase(table.snapshot.reports.begin() + 1);  // n1, of zone 0
    table.Step();
    const Decision first = *table.snapshot.decision;
    EXPECT_EQ(first.zones[0].members, 2) << "it may still send";
    EXPECT_EQ(first.zones[0].lost_members, 0);
    for (int i = 0; i < 24; ++i) table.Step();  // grant_hold, 5 s, is over
    EXPECT_EQ(table.snapshot.decision->zones[0].members, 1);
    EXPECT_EQ(table.snapshot.decision->zones[0].lost_members, 1);
    // By its name it is known again, and takes its share; without, it waits as a new one.
    MemberReport back;
    back.member = "n1";
    back.create_revision = 5000;
    back.load = table.snapshot.reports[0].load;
    back.load.epoch = 0;
    table.snapshot.reports.push_back(back);
    for (int i = 0; i < 8; ++i) table.Step();
    EXPECT_EQ(table.snapshot.decision->zones[0].members, 2);
  }
}

}  // namespace
}  // namespace badgerbridge::zone_failover
