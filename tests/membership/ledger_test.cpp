// SPDX-License-Identifier: Apache-2.0
#include "membership/ledger.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "membership/ledger_harness.h"

namespace badgerbridge::membership {
namespace {

using namespace testing;

TEST_F(LedgerTest, AJoinNeedsTheAuthority) {
  ApplyList(kDiscovery, 1, {Make("a"), Make("b")});
  EXPECT_TRUE(changes.empty());
  ApplyList(kEtcd, 10, {Make("a")});
  EXPECT_EQ(changes.size(), 1u);
  EXPECT_EQ(StateOf("a"), "ready");
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_EQ(DecisionOn("a"), "etcd: ready");
}

TEST_F(LedgerTest, ADrainOrDepartureFromAnySourceCountsAtOnce) {
  ApplyList(kEtcd, 10, {Make("a"), Make("b"), Make("c")});
  ApplyList(kDiscovery, 1, {Make("a"), Make("b"), Make("c")});
  ApplyChanges(kDiscovery, 2, {Make("a", MemberState::kDraining)});
  EXPECT_EQ(StateOf("a"), "draining");
  EXPECT_EQ(DecisionOn("a"), "discovery: draining");
  ApplyChanges(kDiscovery, 3, {Make("b", MemberState::kGone)});
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].state, MemberState::kGone);
  EXPECT_EQ(changes[0].address, "127.0.0.1:1") << "it still tells which one";
  ApplyChanges(kEtcd, 11, {Make("c", MemberState::kDraining)});
  EXPECT_EQ(StateOf("c"), "draining");
  // The authority's silence about it changes nothing; its ready does not outweigh the departure.
  ApplyList(kEtcd, 12, {Make("a"), Make("b"), Make("c", MemberState::kDraining)});
  EXPECT_EQ(StateOf("b"), "gone");
  // It comes back once the source that reported its departure lists it again.
  ApplyChanges(kDiscovery, 4, {Make("b")});
  EXPECT_EQ(StateOf("b"), "ready");
}

TEST_F(LedgerTest, ANewerStartTimeIsANewIncarnation) {
  ApplyList(kEtcd, 10, {Make("a", MemberState::kReady, 100)});
  ApplyList(kDiscovery, 1, {Make("a", MemberState::kDraining, 100)});
  EXPECT_EQ(StateOf("a"), "draining");
  ApplyChanges(kEtcd, 11, {Make("a", MemberState::kReady, 200)});
  EXPECT_EQ(StateOf("a"), "ready") << "what was drained was the one before";
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].start_time_ms, 200);
  ApplyChanges(kDiscovery, 2, {Make("a", MemberState::kDraining, 200)});
  EXPECT_EQ(StateOf("a"), "draining");
}

TEST_F(LedgerTest, AStaleReportBringsNothingBack) {
  ApplyList(kEtcd, 10, {Make("a"), Make("b")});
  ApplyChanges(kEtcd, 11, {Make("a", MemberState::kGone)});
  EXPECT_FALSE(ApplyList(kEtcd, 10, {Make("a"), Make("b")})) << "a follower behind what was seen";
  EXPECT_FALSE(ApplyChanges(kEtcd, 11, {Make("a")})) << "a repeat";
  EXPECT_FALSE(ApplyChanges(kEtcd, 99, {Make("a")}, 2)) << "changes to another history";
  EXPECT_EQ(StateOf("a"), "gone");
  EXPECT_TRUE(changes.empty());
}

TEST_F(LedgerTest, ARestoreFromABackupReplacesTheList) {
  ApplyList(kEtcd, 10, {Make("a"), Make("b"), Make("c"), Make("d")});
  EXPECT_TRUE(ApplyList(kEtcd, 4, {Make("a"), Make("b"), Make("c"), Make("e")}, 2)) << "another cluster id";
  EXPECT_EQ(StateOf("e"), "ready");
  EXPECT_EQ(StateOf("d"), "gone");
  EXPECT_TRUE(ApplyList(kEtcd, 2, {Make("a"), Make("b"), Make("c"), Make("d")}, 2, true))
      << "certain, and lower";
  EXPECT_EQ(StateOf("e"), "gone");
  EXPECT_EQ(ledger.version(kEtcd), 2u);
}

TEST_F(LedgerTest, ACompleteListAppliesWhatTheWatchMissed) {
  ApplyList(kEtcd, 10,
            {Make("drained"), Make("deleted"), Make("replaced", MemberState::kReady, 100), Make("stays")});
  now += Time(3000);
  ApplyList(
      kEtcd, 90,
      {Make("drained", MemberState::kDraining), Make("replaced", MemberState::kReady, 500), Make("stays")});
  EXPECT_EQ(StateOf("drained"), "draining");
  EXPECT_EQ(StateOf("deleted"), "gone");
  EXPECT_EQ(ledger.current_view().at("replaced").member->start_time_ms, 500);
  EXPECT_EQ(changes.size(), 3u);
}

TEST_F(LedgerTest, ASilentSourceBecomesStaleAndRemovesNothing) {
  ApplyList(kEtcd, 10, {Make("a"), Make("b")});
  ApplyList(kDiscovery, 1, {Make("a"), Make("b", MemberState::kDraining)});
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

TEST_F(LedgerTest, AListOfThePlannedSizeIsAccepted) {
  EXPECT_TRUE(ApplyList(kEtcd, 1, Numbered(110000)));
  EXPECT_EQ(ledger.current_view().size(), 110000u);
  EXPECT_EQ(ledger.rejection(kEtcd), "");
  EXPECT_GT(kMaxMembers, 2 * 110000u) << "while a list takes the place of another both are held";
}

}  // namespace
}  // namespace badgerbridge::membership
