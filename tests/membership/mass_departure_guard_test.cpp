// SPDX-License-Identifier: Apache-2.0
//
// Mass departures, through the ledger.
#include "membership/mass_departure_guard.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "membership/ledger_harness.h"

namespace badgerbridge::membership {
namespace {

using namespace testing;

TEST_F(LedgerTest, AMassDepartureIsRetainedAndDrainsAreNot) {
  std::vector<Member> ten;
  for (int i = 0; i < 10; ++i) ten.push_back(Make("m" + std::to_string(i)));
  ApplyList(kEtcd, 10, ten);
  ApplyList(kDiscovery, 1, ten);
  ApplyChanges(kEtcd, 11, {Make("m0", MemberState::kGone), Make("m1", MemberState::kGone)});
  EXPECT_EQ(changes.size(), 2u) << "few are let go";
  now += Time(100);
  std::vector<Member> leaving;
  for (int i = 2; i < 9; ++i) leaving.push_back(Make("m" + std::to_string(i), MemberState::kGone));
  ApplyChanges(kEtcd, 12, leaving);
  EXPECT_TRUE(changes.empty());
  EXPECT_EQ(ledger.retained_count(), 7u);
  EXPECT_EQ(StateOf("m5"), "ready");
  EXPECT_TRUE(ledger.current_view().at("m5").retained);
  EXPECT_NE(DecisionOn("m5").find("held"), std::string::npos);
  ApplyChanges(kDiscovery, 2, {Make("m5", MemberState::kGone), Make("m6", MemberState::kDraining)});
  EXPECT_EQ(StateOf("m5"), "gone") << "another source confirms it";
  EXPECT_EQ(StateOf("m6"), "draining");
  ApplyChanges(kEtcd, 13, {Make("m2")});
  EXPECT_FALSE(ledger.current_view().at("m2").retained) << "it came back";
  ApplyChanges(kEtcd, 14, {Make("m9", MemberState::kDraining)});
  EXPECT_EQ(StateOf("m9"), "draining");
  changes = ledger.ReleaseRetained(now);
  EXPECT_EQ(StateOf("m3"), "gone");
  EXPECT_EQ(ledger.retained_count(), 0u);
  EXPECT_EQ(StateOf("m2"), "ready");
}

}  // namespace
}  // namespace badgerbridge::membership
