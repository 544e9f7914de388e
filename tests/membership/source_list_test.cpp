// SPDX-License-Identifier: Apache-2.0
//
// Limits, pages and services of SourceList, tested through the ledger.
#include "membership/source_list.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "membership/ledger_harness.h"

namespace badgerbridge::membership {
namespace {

using namespace testing;

/// A ledger with small limits.
class SourceListBoundsTest : public LedgerTest {
 protected:
  SourceListBoundsTest() {
    LedgerSettings settings = MakeTwoSourceSettings();
    settings.limits.max_members = 5;
    settings.limits.max_tombstones = 8;
    settings.mass_departure.max_share = 1;
    ledger = Ledger(settings);
  }
};

TEST_F(SourceListBoundsTest, MembersOfAListAboveTheLimitAreRejected) {
  ApplyList(kEtcd, 1, {MakeMember("a")});
  std::vector<Member> many = MakeNumberedMembers(7);
  many.push_back(MakeMember("a", MemberState::kDraining));
  EXPECT_TRUE(ApplyList(kEtcd, 2, many));
  EXPECT_EQ(StateOf("a"), "draining") << "a drain was not applied above the limit";
  EXPECT_EQ(ledger.current_view().size(), 5u);
  EXPECT_EQ(ledger.rejection(kEtcd),
            "3 members are refused: at most 5 are taken; drains and departures still count");
  EXPECT_TRUE(ApplyList(kEtcd, 4, {MakeMember("a"), MakeMember("b")}));
  EXPECT_EQ(ledger.rejection(kEtcd), "") << "the rejection was not cleared by a list below the limit";
}

TEST_F(SourceListBoundsTest, JoinsAboveTheLimitAreRejectedAndDrainsAreNot) {
  EXPECT_TRUE(ApplyList(kEtcd, 1, MakeNumberedMembers(5)));
  EXPECT_EQ(ledger.rejection(kEtcd), "");
  EXPECT_TRUE(ApplyChanges(
      kEtcd, 2,
      {MakeMember("extra"), MakeMember("m3", MemberState::kDraining), MakeMember("m4", MemberState::kGone)}));
  EXPECT_EQ(StateOf("extra"), "gone");
  EXPECT_EQ(StateOf("m3"), "draining");
  EXPECT_EQ(StateOf("m4"), "gone");
  EXPECT_EQ(ledger.rejection(kEtcd),
            "1 members are refused: at most 5 are taken; drains and departures still count");
  EXPECT_TRUE(ApplyChanges(kEtcd, 3, {MakeMember("extra")})) << "below the limit after the departure";
  EXPECT_EQ(StateOf("extra"), "ready");
}

TEST_F(SourceListBoundsTest, TombstonesAboveTheLimitAreDroppedAndChangesStillApplied) {
  // All members are replaced several times within the lifetime of a tombstone.
  for (std::uint64_t round = 1; round <= 6; ++round) {
    std::vector<Member> members;
    for (int i = 0; i < 2; ++i)
      members.push_back(MakeMember(std::to_string(round) + "-" + std::to_string(i)));
    EXPECT_TRUE(ApplyList(kEtcd, round, members));
  }
  EXPECT_EQ(ledger.FindReported(kEtcd, "1-0"), nullptr) << "the oldest tombstone was not dropped";
  ASSERT_NE(ledger.FindReported(kEtcd, "2-0"), nullptr);
  EXPECT_EQ(ledger.FindReported(kEtcd, "2-0")->state, MemberState::kGone);
  EXPECT_TRUE(ApplyChanges(kEtcd, 7, {MakeMember("6-0", MemberState::kDraining)}));
  EXPECT_EQ(StateOf("6-0"), "draining");
}

TEST_F(SourceListBoundsTest, TombstoneOfAMemberListedByTheAuthorityIsKeptAboveTheLimit) {
  ApplyList(kEtcd, 1, {MakeMember("a")});
  ApplyList(kDiscovery, 1, {MakeMember("a")});
  ApplyChanges(kDiscovery, 2, {MakeMember("a", MemberState::kGone)});
  EXPECT_EQ(StateOf("a"), "gone");
  for (std::uint64_t version = 3; version < 23; ++version) {
    const std::string name = "d" + std::to_string(version);
    ApplyChanges(kDiscovery, 2 * version, {MakeMember(name)});
    ApplyChanges(kDiscovery, 2 * version + 1, {MakeMember(name, MemberState::kGone)});
  }
  EXPECT_EQ(ledger.FindReported(kDiscovery, "d3"), nullptr);
  EXPECT_EQ(StateOf("a"), "gone");
}

/// A ledger that receives complete lists in pages.
class SourceListPagesTest : public LedgerTest {
 protected:
  /// Applies one page. Returns whether it was accepted.
  bool ApplyPage(Page page, std::vector<Member> members, std::uint64_t version = 20, std::uint64_t epoch = 1,
                 std::vector<std::string> unreadable = {}) {
    Report report{kEtcd, epoch, version, true, true, std::move(members), std::move(unreadable)};
    report.page = page;
    return Apply(report);
  }
};

TEST_F(SourceListPagesTest, MemberInNoPageLeavesAtTheEndOfTheList) {
  ApplyList(kEtcd, 10,
            {MakeMember("a"), MakeMember("b"), MakeMember("c"), MakeMember("d"), MakeMember("e"),
             MakeMember("f"), MakeMember("g")});
  EXPECT_TRUE(ApplyPage(Page::kFirst, {MakeMember("a"), MakeMember("c", MemberState::kDraining)}));
  EXPECT_EQ(StateOf("c"), "draining") << "a drain in a page takes effect at once";
  EXPECT_EQ(StateOf("b"), "ready") << "the list is not complete yet";
  EXPECT_EQ(ledger.version(kEtcd), 10u);
  EXPECT_TRUE(ApplyPage(Page::kMiddle, {MakeMember("d"), MakeMember("ee")}, 20, 1, {"e"}));
  EXPECT_TRUE(ApplyPage(Page::kLast, {MakeMember("f")}));
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_EQ(StateOf("e"), "ready") << "its value is invalid";
  EXPECT_EQ(StateOf("ee"), "ready");
  EXPECT_EQ(StateOf("g"), "gone");
  EXPECT_EQ(ledger.version(kEtcd), 20u);
}

TEST_F(SourceListPagesTest, MassDepartureIsCountedOverAllPages) {
  std::vector<Member> ten_members;
  for (int i = 0; i < 10; ++i) ten_members.push_back(MakeMember("m" + std::to_string(i)));
  ApplyList(kEtcd, 10, ten_members);
  // Only a few members are missing in each page, but seven in all.
  EXPECT_TRUE(ApplyPage(Page::kFirst, {MakeMember("m2")}));
  EXPECT_TRUE(ApplyPage(Page::kMiddle, {MakeMember("m5")}));
  EXPECT_TRUE(ApplyPage(Page::kLast, {MakeMember("m8")}));
  EXPECT_EQ(ledger.retained_count(), 7u);
  EXPECT_EQ(StateOf("m0"), "ready");
}

TEST_F(SourceListPagesTest, InterruptedListRemovesNothingAndIsFollowedByACompleteOne) {
  ApplyList(kEtcd, 10, {MakeMember("a"), MakeMember("b"), MakeMember("c")});
  EXPECT_TRUE(ApplyPage(Page::kFirst, {MakeMember("c")}));
  EXPECT_FALSE(ApplyChanges(kEtcd, 11, {MakeMember("c", MemberState::kGone)}))
      << "changes during a paged list";
  EXPECT_FALSE(ApplyPage(Page::kLast, {MakeMember("d")}, 21)) << "a page of another list";
  EXPECT_FALSE(ApplyPage(Page::kLast, {MakeMember("d")}, 20, 2)) << "a page of another epoch";
  EXPECT_EQ(ledger.current_view().size(), 3u);
  EXPECT_TRUE(ApplyPage(Page::kFirst, {MakeMember("a")}, 20)) << "a restart of the list at the same version";
  EXPECT_TRUE(ApplyPage(Page::kLast, {MakeMember("c")}, 20));
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_FALSE(ApplyPage(Page::kMiddle, {MakeMember("x")}, 20)) << "no paged list is in progress";
  EXPECT_TRUE(ApplyChanges(kEtcd, 21, {MakeMember("c", MemberState::kDraining)}));
}

class SourceListOrderTest : public LedgerTest {
 protected:
  /// The error code of a rejected report.
  ErrorCode ErrorOf(const Report& report) { return ledger.ApplyReport(now, report).error().code; }
};

TEST_F(SourceListOrderTest, RejectedReportHasAnErrorWithReasonAndSource) {
  EXPECT_EQ(ErrorOf({kEtcd, 1, 10, false, false, {}}), ErrorCode::kUnknownHistory);
  ASSERT_TRUE(ApplyList(kEtcd, 10, {MakeMember("a")}));
  EXPECT_EQ(ErrorOf({kEtcd, 1, 10, false, false, {}}), ErrorCode::kStaleVersion);
  EXPECT_EQ(ErrorOf({kEtcd, 1, 9, true, false, {}}), ErrorCode::kStaleVersion);
  EXPECT_EQ(ErrorOf({kEtcd, 2, 11, false, false, {}}), ErrorCode::kUnknownHistory);
  EXPECT_EQ(ErrorOf({kEtcd, 1, 20, true, true, {}, {}, Page::kLast}), ErrorCode::kPageOutOfOrder);
  const MembershipError error = ledger.ApplyReport(now, {kEtcd, 1, 9, true, false, {}}).error();
  EXPECT_EQ(error.where, "etcd");
  EXPECT_EQ(error.value, "9");
  EXPECT_EQ(Message(error), "etcd: version 9 is older than an earlier report");
}

/// A ledger whose source lists members by service.
class SourceListServicesTest : public LedgerTest {
 protected:
  static Member MakeServiceMember(const std::string& service, const std::string& name,
                                  MemberState state = MemberState::kReady) {
    Member member = MakeMember(name, state);
    member.service = service;
    return member;
  }
  /// Applies one page of a service. Returns whether it was accepted.
  bool ApplyServicePage(Page page, const std::string& service, std::vector<Member> members,
                        std::uint64_t version, bool ends_service = true) {
    Report report{kEtcd, 1, version, true, true, std::move(members)};
    report.page = page;
    report.service = service;
    report.ends_service = ends_service;
    return Apply(report);
  }
  /// Applies changes of a service. Returns whether they were accepted.
  bool ApplyServiceChanges(const std::string& service, std::uint64_t version, std::vector<Member> members) {
    Report report{kEtcd, 1, version, false, false, std::move(members)};
    report.service = service;
    return Apply(report);
  }
};

TEST_F(SourceListServicesTest, PagesAreComparedWithMembersOfTheSameService) {
  EXPECT_TRUE(
      ApplyServicePage(Page::kFirst, "x", {MakeServiceMember("x", "m"), MakeServiceMember("x", "p")}, 10));
  EXPECT_TRUE(ApplyServicePage(
      Page::kLast, "y",
      {MakeServiceMember("y", "a"), MakeServiceMember("y", "n"), MakeServiceMember("y", "z")}, 10));
  EXPECT_EQ(ledger.current_view().size(), 5u);
  EXPECT_TRUE(ApplyServicePage(Page::kFirst, "x", {MakeServiceMember("x", "m")}, 20, false));
  EXPECT_TRUE(ApplyServicePage(Page::kMiddle, "x", {}, 20));
  EXPECT_TRUE(ApplyServicePage(Page::kMiddle, "y", {MakeServiceMember("y", "n")}, 20, false));
  EXPECT_EQ(ledger.current_view().size(), 5u);
  EXPECT_TRUE(ApplyServicePage(Page::kLast, "y", {MakeServiceMember("y", "z")}, 20));
  EXPECT_EQ(StateOf("p"), "gone");
  EXPECT_EQ(StateOf("a"), "gone");
  EXPECT_EQ(ledger.current_view().size(), 3u);
}

TEST_F(SourceListServicesTest, VersionsAreComparedWithinAService) {
  ApplyServicePage(Page::kFirst, "x", {MakeServiceMember("x", "a")}, 10);
  ApplyServicePage(Page::kLast, "y", {MakeServiceMember("y", "b")}, 10);
  EXPECT_TRUE(ApplyServiceChanges("y", 30, {MakeServiceMember("y", "b", MemberState::kDraining)}));
  EXPECT_TRUE(ApplyServiceChanges("x", 25, {MakeServiceMember("x", "a", MemberState::kDraining)}))
      << "versions of different services are not comparable";
  EXPECT_EQ(StateOf("a"), "draining");
  EXPECT_FALSE(ApplyServiceChanges("x", 25, {MakeServiceMember("x", "a")})) << "a repeated version";
  EXPECT_FALSE(ApplyServiceChanges("x", 9, {MakeServiceMember("x", "a")})) << "a version older than the list";
  EXPECT_EQ(ledger.version(kEtcd), 30u);
}

TEST_F(SourceListServicesTest, NameInTwoServicesIsAProblemAndTheFirstStays) {
  ApplyServicePage(Page::kFirst, "x", {MakeServiceMember("x", "a")}, 10);
  ApplyServicePage(Page::kLast, "y",
                   {MakeServiceMember("y", "a", MemberState::kDraining), MakeServiceMember("y", "b")}, 10);
  EXPECT_EQ(StateOf("a"), "ready") << "the drain of another service's member was applied";
  ASSERT_EQ(ledger.problems(kEtcd).count("y/a"), 1u);
  EXPECT_NE(ledger.problems(kEtcd).at("y/a").find("the service x has a member of this name"),
            std::string::npos);
  EXPECT_TRUE(ApplyServiceChanges("y", 11, {MakeServiceMember("y", "a", MemberState::kGone)}));
  EXPECT_EQ(StateOf("a"), "ready") << "the departure of another service's member was applied";
  EXPECT_TRUE(ledger.problems(kEtcd).empty());
}

TEST_F(SourceListServicesTest, MemberThatMovedBetweenServicesIsNoConflict) {
  ApplyServicePage(Page::kFirst, "x", {MakeServiceMember("x", "b")}, 10);
  ApplyServicePage(Page::kLast, "y", {MakeServiceMember("y", "a")}, 10);
  // The list has x first, which a moved to, and then y, which a left.
  ApplyServicePage(Page::kFirst, "x", {MakeServiceMember("x", "a"), MakeServiceMember("x", "b")}, 20);
  ApplyServicePage(Page::kLast, "y", {}, 20);
  EXPECT_EQ(StateOf("a"), "ready");
  EXPECT_EQ(ledger.current_view().at("a").member->service, "x");
  EXPECT_TRUE(ledger.problems(kEtcd).empty());
}

}  // namespace
}  // namespace badgerbridge::membership
