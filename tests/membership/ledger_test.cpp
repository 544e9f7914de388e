// SPDX-License-Identifier: Apache-2.0
#include "membership/ledger.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "membership/ledger_harness.h"

namespace badgerbridge::membership {
namespace {

using namespace testing;

TEST_F(LedgerTest, OnlyTheAuthorityAddsMembers) {
  ApplyList(kDiscovery, 1, {MakeMember("a"), MakeMember("b")});
  EXPECT_TRUE(changes.empty());
  ApplyList(kEtcd, 10, {MakeMember("a")});
  EXPECT_EQ(changes.size(), 1u);
  EXPECT_EQ(StateOf("a"), "ready");
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_EQ(DecisionOn("a"), "etcd: ready");
}

TEST_F(LedgerTest, DrainOrDepartureFromAnySourceTakesEffectAtOnce) {
  ApplyList(kEtcd, 10, {MakeMember("a"), MakeMember("b"), MakeMember("c")});
  ApplyList(kDiscovery, 1, {MakeMember("a"), MakeMember("b"), MakeMember("c")});
  ApplyChanges(kDiscovery, 2, {MakeMember("a", MemberState::kDraining)});
  EXPECT_EQ(StateOf("a"), "draining");
  EXPECT_EQ(DecisionOn("a"), "discovery: draining");
  ApplyChanges(kDiscovery, 3, {MakeMember("b", MemberState::kGone)});
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].state, MemberState::kGone);
  EXPECT_EQ(changes[0].address, "127.0.0.1:1") << "the change of a departed member lost its address";
  ApplyChanges(kEtcd, 11, {MakeMember("c", MemberState::kDraining)});
  EXPECT_EQ(StateOf("c"), "draining");
  // The authority still lists b as ready, which does not override the departure reported by discovery.
  ApplyList(kEtcd, 12, {MakeMember("a"), MakeMember("b"), MakeMember("c", MemberState::kDraining)});
  EXPECT_EQ(StateOf("b"), "gone");
  // The member returns when the source that reported its departure lists it again.
  ApplyChanges(kDiscovery, 4, {MakeMember("b")});
  EXPECT_EQ(StateOf("b"), "ready");
}

TEST_F(LedgerTest, NewerStartTimeIsANewIncarnation) {
  ApplyList(kEtcd, 10, {MakeMember("a", MemberState::kReady, 100)});
  ApplyList(kDiscovery, 1, {MakeMember("a", MemberState::kDraining, 100)});
  EXPECT_EQ(StateOf("a"), "draining");
  ApplyChanges(kEtcd, 11, {MakeMember("a", MemberState::kReady, 200)});
  EXPECT_EQ(StateOf("a"), "ready") << "the drain was of the previous incarnation";
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].start_time_ms, 200);
  ApplyChanges(kDiscovery, 2, {MakeMember("a", MemberState::kDraining, 200)});
  EXPECT_EQ(StateOf("a"), "draining");
}

TEST_F(LedgerTest, OutdatedReportRestoresNoMember) {
  ApplyList(kEtcd, 10, {MakeMember("a"), MakeMember("b")});
  ApplyChanges(kEtcd, 11, {MakeMember("a", MemberState::kGone)});
  EXPECT_FALSE(ApplyList(kEtcd, 10, {MakeMember("a"), MakeMember("b")}))
      << "a list older than an earlier report";
  EXPECT_FALSE(ApplyChanges(kEtcd, 11, {MakeMember("a")})) << "a repeated version";
  EXPECT_FALSE(ApplyChanges(kEtcd, 99, {MakeMember("a")}, 2)) << "changes of another epoch";
  EXPECT_EQ(StateOf("a"), "gone");
  EXPECT_TRUE(changes.empty());
}

TEST_F(LedgerTest, RestoreFromABackupReplacesTheList) {
  ApplyList(kEtcd, 10, {MakeMember("a"), MakeMember("b"), MakeMember("c"), MakeMember("d")});
  EXPECT_TRUE(ApplyList(kEtcd, 4, {MakeMember("a"), MakeMember("b"), MakeMember("c"), MakeMember("e")}, 2))
      << "another cluster id";
  EXPECT_EQ(StateOf("e"), "ready");
  EXPECT_EQ(StateOf("d"), "gone");
  EXPECT_TRUE(
      ApplyList(kEtcd, 2, {MakeMember("a"), MakeMember("b"), MakeMember("c"), MakeMember("d")}, 2, true))
      << "a linearizable read with a lower version";
  EXPECT_EQ(StateOf("e"), "gone");
  EXPECT_EQ(ledger.version(kEtcd), 2u);
}

TEST_F(LedgerTest, CompleteListAppliesChangesThatTheWatchMissed) {
  ApplyList(kEtcd, 10,
            {MakeMember("drained"), MakeMember("deleted"), MakeMember("replaced", MemberState::kReady, 100),
             MakeMember("stays")});
  now += Time(3000);
  ApplyList(kEtcd, 90,
            {MakeMember("drained", MemberState::kDraining), MakeMember("replaced", MemberState::kReady, 500),
             MakeMember("stays")});
  EXPECT_EQ(StateOf("drained"), "draining");
  EXPECT_EQ(StateOf("deleted"), "gone");
  EXPECT_EQ(ledger.current_view().at("replaced").member->start_time_ms, 500);
  EXPECT_EQ(changes.size(), 3u);
}

TEST_F(LedgerTest, SourceWithoutContactBecomesStaleAndRemovesNothing) {
  ApplyList(kEtcd, 10, {MakeMember("a"), MakeMember("b")});
  ApplyList(kDiscovery, 1, {MakeMember("a"), MakeMember("b", MemberState::kDraining)});
  EXPECT_EQ(ledger.StalenessAt(now, kEtcd), Staleness::kCurrent);
  now += Time(5000);
  EXPECT_EQ(ledger.StalenessAt(now, kEtcd), Staleness::kAging);
  now += Time(55000);
  EXPECT_EQ(ledger.StalenessAt(now, kEtcd), Staleness::kStale);
  changes = ledger.Tick(now);
  EXPECT_EQ(StateOf("a"), "ready");
  EXPECT_EQ(StateOf("b"), "draining") << "no current source reports otherwise";
  changes.clear();
  ledger.RecordContact(now, kEtcd);
  changes = ledger.Tick(now);
  EXPECT_EQ(StateOf("b"), "ready") << "the authority is current, and the other source is stale";
  ASSERT_EQ(changes.size(), 1u);
  ledger.RecordContact(now, kDiscovery);
  changes = ledger.Tick(now);
  EXPECT_EQ(StateOf("b"), "draining");
  EXPECT_EQ(ledger.NextWake(now), now + Time(5000));
}

TEST_F(LedgerTest, ProblemsAreBoundedInNumber) {
  for (int i = 0; i < 200; ++i) ledger.RecordProblem(kEtcd, "key" + std::to_string(i), "no JSON");
  EXPECT_EQ(ledger.problems(kEtcd).size(), kMaxProblems);
  ledger.RecordProblem(kEtcd, "key3", "");
  EXPECT_EQ(ledger.problems(kEtcd).count("key3"), 0u);
}

TEST_F(LedgerTest, ListOfThePlannedSizeIsAccepted) {
  EXPECT_TRUE(ApplyList(kEtcd, 1, MakeNumberedMembers(110000)));
  EXPECT_EQ(ledger.current_view().size(), 110000u);
  EXPECT_EQ(ledger.rejection(kEtcd), "");
  EXPECT_GT(kMaxMembers, 2 * 110000u) << "both lists are stored while one replaces the other";
}

}  // namespace
}  // namespace badgerbridge::membership
