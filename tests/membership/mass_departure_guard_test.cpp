// SPDX-License-Identifier: Apache-2.0
//
// MassDepartureGuard, tested through the ledger.
#include "membership/mass_departure_guard.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "membership/ledger_harness.h"

namespace badgerbridge::membership {
namespace {

using namespace testing;

TEST_F(LedgerTest, MassDepartureIsRetainedAndDrainsAreNot) {
  std::vector<Member> ten_members;
  for (int i = 0; i < 10; ++i) ten_members.push_back(MakeMember("m" + std::to_string(i)));
  ApplyList(kEtcd, 10, ten_members);
  ApplyList(kDiscovery, 1, ten_members);
  ApplyChanges(kEtcd, 11, {MakeMember("m0", MemberState::kGone), MakeMember("m1", MemberState::kGone)});
  EXPECT_EQ(changes.size(), 2u) << "departures below min_count are not retained";
  now += Time(100);
  std::vector<Member> leaving;
  for (int i = 2; i < 9; ++i) leaving.push_back(MakeMember("m" + std::to_string(i), MemberState::kGone));
  ApplyChanges(kEtcd, 12, leaving);
  EXPECT_TRUE(changes.empty());
  EXPECT_EQ(ledger.retained_count(), 7u);
  EXPECT_EQ(StateOf("m5"), "ready");
  EXPECT_TRUE(ledger.current_view().at("m5").retained);
  EXPECT_NE(DecisionOn("m5").find("held"), std::string::npos);
  ApplyChanges(kDiscovery, 2,
               {MakeMember("m5", MemberState::kGone), MakeMember("m6", MemberState::kDraining)});
  EXPECT_EQ(StateOf("m5"), "gone") << "another source confirms the departure";
  EXPECT_EQ(StateOf("m6"), "draining");
  ApplyChanges(kEtcd, 13, {MakeMember("m2")});
  EXPECT_FALSE(ledger.current_view().at("m2").retained) << "the authority lists it again";
  ApplyChanges(kEtcd, 14, {MakeMember("m9", MemberState::kDraining)});
  EXPECT_EQ(StateOf("m9"), "draining");
  changes = ledger.ReleaseRetained(now);
  EXPECT_EQ(StateOf("m3"), "gone");
  EXPECT_EQ(ledger.retained_count(), 0u);
  EXPECT_EQ(StateOf("m2"), "ready");
}

}  // namespace
}  // namespace badgerbridge::membership
