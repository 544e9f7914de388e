// SPDX-License-Identifier: Apache-2.0
//
// The decider by itself, over snapshots made by hand: what many members seldom bring about.
#include "zone_failover/decider.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace badgerbridge::zone_failover {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(1e6 + ms)); }

// Two zones of two members each; zone 0 is asked for what the caller says, zone 1 for little.
struct Table {
  Table() {
    Rules rules;
    rules.zones = 2;
    rules.round_trip = Matrix(2, 2);
    rules.price = Matrix(2, 1);
    decider = std::make_unique<Decider>(rules);
    for (int i = 0; i < 4; ++i) {
      MemberReport report;
      report.member = "n" + std::to_string(i);
      report.created = 10 + i;
      report.evidence.zone = i / 2;
      report.evidence.demand = 1;
      report.evidence.zones.resize(2);
      for (ZoneReport& z : report.evidence.zones) z.attempts = 20, z.latency = 20, z.warm = 10;
      snapshot.reports.push_back(report);
    }
  }
  // 250 ms on: what was decided is read by all but `deaf`, a name.
  void Step(const std::string& deaf = "") {
    now += 250;
    snapshot.revision = 100 + static_cast<std::int64_t>(now);
    for (MemberReport& report : snapshot.reports) {
      for (std::size_t z = 0; z < 2; ++z) {
        report.evidence.zones[z].served =
            z == static_cast<std::size_t>(report.evidence.zone) ? report.evidence.demand : 0;
        report.evidence.zones[z].used = used;
      }
    }
    if (auto next = decider->Decide(At(now), snapshot, "n0")) snapshot.decision = std::move(next);
    for (MemberReport& report : snapshot.reports) {
      if (report.member != deaf && snapshot.decision) report.evidence.epoch = snapshot.decision->epoch;
    }
  }
  double Given(std::size_t o, std::size_t r) const { return snapshot.decision->grants.at(o, r); }
  std::unique_ptr<Decider> decider;
  Snapshot snapshot;
  double now = 0, used = 0.3;
};

// It, or one that lies, must not make the record of epochs grow, nor keep the others from being served.
TEST(RegionsDecider, OneThatNeverConfirmsCostsABoundedRecord) {
  Table table;
  for (int i = 0; i < 20; ++i) table.Step();
  const std::uint64_t before = table.snapshot.decision->epoch;
  for (int i = 0; i < 2000; ++i) {
    table.snapshot.reports[0].evidence.demand = i / 9 % 2 ? 1 : 3;  // so that there is something to decide
    table.Step("n3");
    ASSERT_LE(table.decider->epochs(), 65u);
  }
  EXPECT_GT(table.snapshot.decision->epoch, before + 65);  // the bound was reached
  EXPECT_GT(table.Given(0, 1), 0);
  // Heard again, it is forgotten what was kept for it.
  for (int i = 0; i < 20; ++i) table.Step();
  EXPECT_LT(table.decider->epochs(), 8u);
}

// Where every receiver is full, there is never a moment at which its part just fits.
TEST(RegionsDecider, WhoComesBackWhileAllIsFullWaitsNoLongerThanASecond) {
  Table table;
  for (MemberReport& report : table.snapshot.reports)
    report.evidence.demand = report.evidence.zone == 0 ? 30 : 2;
  table.used = 0.95;
  for (int i = 0; i < 40; ++i) table.Step();
  MemberReport back = table.snapshot.reports[1];
  table.snapshot.reports.erase(table.snapshot.reports.begin() + 1);
  for (int i = 0; i < 8; ++i) table.Step();  // within its hold: the other uses the room
  back.created = 5000;
  back.evidence.epoch = 0;  // another process
  table.snapshot.reports.push_back(back);
  for (int i = 0; i < 6; ++i) table.Step();
  const auto& returned = table.snapshot.decision->returned;
  EXPECT_TRUE(table.snapshot.decision->admitted >= 5000 ||
              std::find(returned.begin(), returned.end(), Decision::Returned{"n1", 5000}) != returned.end());
  for (int i = 0; i < 6; ++i) table.Step();
  EXPECT_GT(table.Given(0, 1), 0);
}

// A successor without a roll (lost, or of another epoch) knows only how many are missing, and waits for them.
TEST(RegionsDecider, ASuccessorWithoutARollKeepsThePartsOfThoseThatAreMissing) {
  for (const bool with_roll : {true, false}) {
    Table table;
    for (int i = 0; i < 40; ++i) table.Step();
    ASSERT_GT(table.Given(0, 1), 0);
    ASSERT_EQ(table.snapshot.decision->roster.size(), 4u);
    table.decider->Reset();
    if (!with_roll) table.snapshot.decision->roster.clear();
    table.snapshot.reports.erase(table.snapshot.reports.begin() + 1);  // n1, of zone 0
    table.Step();
    const Decision first = *table.snapshot.decision;
    EXPECT_EQ(first.zones[0].members, 2) << "it may still send";
    EXPECT_EQ(first.zones[0].lost, 0);
    for (int i = 0; i < 24; ++i) table.Step();  // hold, 5 s, is over
    EXPECT_EQ(table.snapshot.decision->zones[0].members, 1);
    EXPECT_EQ(table.snapshot.decision->zones[0].lost, 1);
    // By its name it is known again, and takes its part; without, it waits as one never seen.
    MemberReport back;
    back.member = "n1";
    back.created = 5000;
    back.evidence = table.snapshot.reports[0].evidence;
    back.evidence.epoch = 0;
    table.snapshot.reports.push_back(back);
    for (int i = 0; i < 8; ++i) table.Step();
    EXPECT_EQ(table.snapshot.decision->zones[0].members, 2);
  }
}

}  // namespace
}  // namespace badgerbridge::zone_failover
