// SPDX-License-Identifier: Apache-2.0
//
// Bounds, pages and services of one source's list, through the ledger.
#include "membership/source_list.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "membership/ledger_harness.h"

namespace badgerbridge::membership {
namespace {

using namespace testing;

/// A ledger with small bounds.
class SourceListBoundsTest : public LedgerTest {
 protected:
  SourceListBoundsTest() {
    LedgerSettings settings = TwoSources();
    settings.limits.max_members = 5;
    settings.limits.max_tombstones = 8;
    settings.mass_departure.max_share = 1;
    ledger = Ledger(settings);
  }
};

TEST_F(SourceListBoundsTest, MembersOfAListBeyondTheBoundAreRejected) {
  ApplyList(kEtcd, 1, {Make("a")});
  std::vector<Member> many = Numbered(7);
  many.push_back(Make("a", MemberState::kDraining));
  EXPECT_TRUE(ApplyList(kEtcd, 2, many));
  EXPECT_EQ(StateOf("a"), "draining") << "a drain counts all the same";
  EXPECT_EQ(ledger.current_view().size(), 5u);
  EXPECT_EQ(ledger.rejection(kEtcd),
            "3 members are refused: at most 5 are taken; drains and departures still count");
  EXPECT_TRUE(ApplyList(kEtcd, 4, {Make("a"), Make("b")}));
  EXPECT_EQ(ledger.rejection(kEtcd), "") << "what the source has is known again";
}

TEST_F(SourceListBoundsTest, JoinsBeyondTheBoundAreRejectedAndDrainsAreNot) {
  EXPECT_TRUE(ApplyList(kEtcd, 1, Numbered(5)));
  EXPECT_EQ(ledger.rejection(kEtcd), "");
  EXPECT_TRUE(ApplyChanges(
      kEtcd, 2, {Make("extra"), Make("m3", MemberState::kDraining), Make("m4", MemberState::kGone)}));
  EXPECT_EQ(StateOf("extra"), "gone");
  EXPECT_EQ(StateOf("m3"), "draining");
  EXPECT_EQ(StateOf("m4"), "gone");
  EXPECT_EQ(ledger.rejection(kEtcd),
            "1 members are refused: at most 5 are taken; drains and departures still count");
  EXPECT_TRUE(ApplyChanges(kEtcd, 3, {Make("extra")})) << "there is room again";
  EXPECT_EQ(StateOf("extra"), "ready");
}

TEST_F(SourceListBoundsTest, TombstonesBeyondTheBoundAreForgottenAndChangesStillApplied) {
  // Every member is replaced again and again within the time that a departure is remembered.
  for (std::uint64_t round = 1; round <= 6; ++round) {
    std::vector<Member> members;
    for (int i = 0; i < 2; ++i) members.push_back(Make(std::to_string(round) + "-" + std::to_string(i)));
    EXPECT_TRUE(ApplyList(kEtcd, round, members));
  }
  EXPECT_EQ(ledger.FindReported(kEtcd, "1-0"), nullptr) << "the oldest are forgotten";
  ASSERT_NE(ledger.FindReported(kEtcd, "2-0"), nullptr);
  EXPECT_EQ(ledger.FindReported(kEtcd, "2-0")->state, MemberState::kGone);
  EXPECT_TRUE(ApplyChanges(kEtcd, 7, {Make("6-0", MemberState::kDraining)}));
  EXPECT_EQ(StateOf("6-0"), "draining");
}

TEST_F(SourceListBoundsTest, ATombstoneThatKeepsAListedMemberOutOutlivesTheBound) {
  ApplyList(kEtcd, 1, {Make("a")});
  ApplyList(kDiscovery, 1, {Make("a")});
  ApplyChanges(kDiscovery, 2, {Make("a", MemberState::kGone)});
  EXPECT_EQ(StateOf("a"), "gone");
  for (std::uint64_t version = 3; version < 23; ++version) {
    const std::string name = "d" + std::to_string(version);
    ApplyChanges(kDiscovery, 2 * version, {Make(name)});
    ApplyChanges(kDiscovery, 2 * version + 1, {Make(name, MemberState::kGone)});
  }
  EXPECT_EQ(ledger.FindReported(kDiscovery, "d3"), nullptr);
  EXPECT_EQ(StateOf("a"), "gone");
}

/// Complete lists in pages.
class SourceListPagesTest : public LedgerTest {
 protected:
  /// Applies one page; whether it was accepted.
  bool ApplyPage(Page page, std::vector<Member> members, std::uint64_t version = 20, std::uint64_t epoch = 1,
                 std::vector<std::string> unreadable = {}) {
    Report report{kEtcd, epoch, version, true, true, std::move(members), std::move(unreadable)};
    report.page = page;
    return Apply(report);
  }
};

TEST_F(SourceListPagesTest, AMemberThatNoPageNamesLeavesAtTheEndOfTheList) {
  ApplyList(kEtcd, 10, {Make("a"), Make("b"), Make("c"), Make("d"), Make("e"), Make("f"), Make("g")});
  EXPECT_TRUE(ApplyPage(Page::kFirst, {Make("a"), Make("c", MemberState::kDraining)}));
  EXPECT_EQ(StateOf("c"), "draining") << "at once";
  EXPECT_EQ(StateOf("b"), "ready") << "the list is not whole yet";
  EXPECT_EQ(ledger.version(kEtcd), 10u);
  EXPECT_TRUE(ApplyPage(Page::kMiddle, {Make("d"), Make("ee")}, 20, 1, {"e"}));
  EXPECT_TRUE(ApplyPage(Page::kLast, {Make("f")}));
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_EQ(StateOf("e"), "ready") << "its value could not be read";
  EXPECT_EQ(StateOf("ee"), "ready");
  EXPECT_EQ(StateOf("g"), "gone");
  EXPECT_EQ(ledger.version(kEtcd), 20u);
}

TEST_F(SourceListPagesTest, AMassDepartureIsCountedOverAllPages) {
  std::vector<Member> ten;
  for (int i = 0; i < 10; ++i) ten.push_back(Make("m" + std::to_string(i)));
  ApplyList(kEtcd, 10, ten);
  // One leaves within each page: few in any of them, seven in all.
  EXPECT_TRUE(ApplyPage(Page::kFirst, {Make("m2")}));
  EXPECT_TRUE(ApplyPage(Page::kMiddle, {Make("m5")}));
  EXPECT_TRUE(ApplyPage(Page::kLast, {Make("m8")}));
  EXPECT_EQ(ledger.retained_count(), 7u);
  EXPECT_EQ(StateOf("m0"), "ready");
}

TEST_F(SourceListPagesTest, AnInterruptedListRemovesNothingAndOnlyACompleteOneFollows) {
  ApplyList(kEtcd, 10, {Make("a"), Make("b"), Make("c")});
  EXPECT_TRUE(ApplyPage(Page::kFirst, {Make("c")}));
  EXPECT_FALSE(ApplyChanges(kEtcd, 11, {Make("c", MemberState::kGone)})) << "from before the list";
  EXPECT_FALSE(ApplyPage(Page::kLast, {Make("d")}, 21)) << "of another list";
  EXPECT_FALSE(ApplyPage(Page::kLast, {Make("d")}, 20, 2)) << "of another history";
  EXPECT_EQ(ledger.current_view().size(), 3u);
  EXPECT_TRUE(ApplyPage(Page::kFirst, {Make("a")}, 20)) << "from the start again, at the same version";
  EXPECT_TRUE(ApplyPage(Page::kLast, {Make("c")}, 20));
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_FALSE(ApplyPage(Page::kMiddle, {Make("x")}, 20)) << "there is none under way";
  EXPECT_TRUE(ApplyChanges(kEtcd, 21, {Make("c", MemberState::kDraining)}));
}

class SourceListOrderTest : public LedgerTest {
 protected:
  /// Why a report is rejected.
  ErrorCode RejectionOf(const Report& report) { return ledger.ApplyReport(now, report).error().code; }
};

TEST_F(SourceListOrderTest, ARejectedReportHasAnErrorThatTellsWhyAndWhere) {
  EXPECT_EQ(RejectionOf({kEtcd, 1, 10, false, false, {}}), ErrorCode::kUnknownHistory);
  ASSERT_TRUE(ApplyList(kEtcd, 10, {Make("a")}));
  EXPECT_EQ(RejectionOf({kEtcd, 1, 10, false, false, {}}), ErrorCode::kStaleVersion);
  EXPECT_EQ(RejectionOf({kEtcd, 1, 9, true, false, {}}), ErrorCode::kStaleVersion);
  EXPECT_EQ(RejectionOf({kEtcd, 2, 11, false, false, {}}), ErrorCode::kUnknownHistory);
  EXPECT_EQ(RejectionOf({kEtcd, 1, 20, true, true, {}, {}, Page::kLast}), ErrorCode::kPageOutOfOrder);
  const MembershipError error = ledger.ApplyReport(now, {kEtcd, 1, 9, true, false, {}}).error();
  EXPECT_EQ(error.where, "etcd");
  EXPECT_EQ(error.value, "9");
  EXPECT_EQ(Message(error), "etcd: version 9 is older than what was reported before");
}

/// Members listed by service.
class SourceListServicesTest : public LedgerTest {
 protected:
  /// A member of a service.
  static Member In(const std::string& service, const std::string& name,
                   MemberState state = MemberState::kReady) {
    Member member = Make(name, state);
    member.service = service;
    return member;
  }
  /// Applies one page of a service; whether it was accepted.
  bool List(Page page, const std::string& service, std::vector<Member> members, std::uint64_t version,
            bool ends_service = true) {
    Report report{kEtcd, 1, version, true, true, std::move(members)};
    report.page = page;
    report.service = service;
    report.ends_service = ends_service;
    return Apply(report);
  }
  /// Applies changes of a service; whether they were accepted.
  bool Change(const std::string& service, std::uint64_t version, std::vector<Member> members) {
    Report report{kEtcd, 1, version, false, false, std::move(members)};
    report.service = service;
    return Apply(report);
  }
};

TEST_F(SourceListServicesTest, EachServicesPagesAreComparedWithItsOwnMembers) {
  EXPECT_TRUE(List(Page::kFirst, "x", {In("x", "m"), In("x", "p")}, 10));
  EXPECT_TRUE(List(Page::kLast, "y", {In("y", "a"), In("y", "n"), In("y", "z")}, 10));
  EXPECT_EQ(ledger.current_view().size(), 5u);
  EXPECT_TRUE(List(Page::kFirst, "x", {In("x", "m")}, 20, false));
  EXPECT_TRUE(List(Page::kMiddle, "x", {}, 20));
  EXPECT_TRUE(List(Page::kMiddle, "y", {In("y", "n")}, 20, false));
  EXPECT_EQ(ledger.current_view().size(), 5u);
  EXPECT_TRUE(List(Page::kLast, "y", {In("y", "z")}, 20));
  EXPECT_EQ(StateOf("p"), "gone");
  EXPECT_EQ(StateOf("a"), "gone");
  EXPECT_EQ(ledger.current_view().size(), 3u);
}

TEST_F(SourceListServicesTest, VersionsCountWithinAService) {
  List(Page::kFirst, "x", {In("x", "a")}, 10);
  List(Page::kLast, "y", {In("y", "b")}, 10);
  EXPECT_TRUE(Change("y", 30, {In("y", "b", MemberState::kDraining)}));
  EXPECT_TRUE(Change("x", 25, {In("x", "a", MemberState::kDraining)})) << "no order holds between them";
  EXPECT_EQ(StateOf("a"), "draining");
  EXPECT_FALSE(Change("x", 25, {In("x", "a")})) << "a repeat";
  EXPECT_FALSE(Change("x", 9, {In("x", "a")})) << "before the list";
  EXPECT_EQ(ledger.version(kEtcd), 30u);
}

TEST_F(SourceListServicesTest, ANameInTwoServicesIsAProblemAndTheFirstStays) {
  List(Page::kFirst, "x", {In("x", "a")}, 10);
  List(Page::kLast, "y", {In("y", "a", MemberState::kDraining), In("y", "b")}, 10);
  EXPECT_EQ(StateOf("a"), "ready") << "the drain is another's";
  ASSERT_EQ(ledger.problems(kEtcd).count("y/a"), 1u);
  EXPECT_NE(ledger.problems(kEtcd).at("y/a").find("the service x has a member of this name"),
            std::string::npos);
  EXPECT_TRUE(Change("y", 11, {In("y", "a", MemberState::kGone)}));
  EXPECT_EQ(StateOf("a"), "ready") << "nor is the departure its own";
  EXPECT_TRUE(ledger.problems(kEtcd).empty());
}

TEST_F(SourceListServicesTest, AMemberThatMovedBetweenServicesIsNoClash) {
  List(Page::kFirst, "x", {In("x", "b")}, 10);
  List(Page::kLast, "y", {In("y", "a")}, 10);
  // The list reads x first, where a is now, and only then y, where it was.
  List(Page::kFirst, "x", {In("x", "a"), In("x", "b")}, 20);
  List(Page::kLast, "y", {}, 20);
  EXPECT_EQ(StateOf("a"), "ready");
  EXPECT_EQ(ledger.current_view().at("a").member->service, "x");
  EXPECT_TRUE(ledger.problems(kEtcd).empty());
}

}  // namespace
}  // namespace badgerbridge::membership
