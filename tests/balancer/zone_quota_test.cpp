// SPDX-License-Identifier: Apache-2.0
//
// Tests the limits on the work sent to each zone (ZoneQuotas).
#include <gtest/gtest.h>

#include <cmath>

#include "harness.h"

namespace badgerbridge::balancer::testing {
namespace {

// Two zones with two backends each; the classes have the priority weights 1, 1 and 5.
BalancerHarness TwoZones() {
  Settings settings = ThreeClassSettings();
  settings.classes[2].priority_weight = 5;
  BalancerHarness harness(settings);
  harness.UpdateEndpoints({Entry(1, 0), Entry(2, 0), Entry(3, 1), Entry(4, 1)});
  return harness;
}

TEST(ZoneQuota, ZoneWithZeroQuota_AllRequestsGoToOtherZone) {
  BalancerHarness harness = TwoZones();
  harness.Handle(ZoneQuotas{{0, -1}});
  for (RequestId id = 1; id <= 20; ++id) {
    const auto server = harness.SubmitRequest(id);
    ASSERT_TRUE(server);
    EXPECT_GE(*server, 3u);
    harness.now += 20;
    harness.EndAttempt(id, 0, *server, Outcome::kOk);
  }
}

TEST(ZoneQuota, TimePasses_QuotaAccruesUpToOneSecond) {
  BalancerHarness harness = TwoZones();
  harness.Handle(ZoneQuotas{{0.1, 0}});  // a request of 10 ms per 100 ms
  EXPECT_FALSE(harness.SubmitRequest(1, 2)) << "no quota has accrued yet";
  harness.AdvanceTime(150);
  const auto first = harness.SentTo(1);
  ASSERT_TRUE(first);
  harness.EndAttempt(1, 0, *first, Outcome::kOk);
  // The burst is limited to the quota of one second, even after a long idle time.
  harness.AdvanceTime(60000);
  int sent = 0;
  for (RequestId id = 100; id < 120; ++id) {
    const auto server = harness.SubmitRequest(id, 2);
    if (!server) continue;
    ++sent;
    harness.EndAttempt(id, 0, *server, Outcome::kOk);
  }
  EXPECT_EQ(sent, 10);
}

TEST(ZoneQuota, LowPriority_LeavesPartOfTheQuotaToOthers) {
  BalancerHarness harness = TwoZones();
  harness.Handle(ZoneQuotas{{0.1, 0}});
  harness.AdvanceTime(300);  // 30 of 100: below the 40 reserved from priority weight 1 of 5
  EXPECT_FALSE(harness.SubmitRequest(1, 0));
  EXPECT_TRUE(harness.SubmitRequest(2, 2));
}

TEST(ZoneQuota, UnlimitedZoneBecomesLimited_AccruesFromThen) {
  BalancerHarness harness = TwoZones();
  harness.Handle(ZoneQuotas{{-1, -1}});
  harness.AdvanceTime(10000);
  harness.Handle(ZoneQuotas{{0.1, 0}});
  EXPECT_FALSE(harness.SubmitRequest(1, 2));
  harness.AdvanceTime(100);
  EXPECT_TRUE(harness.SentTo(1));
}

TEST(ZoneQuota, NoZoneHasCapacity_RejectedOnceAndNeverSent) {
  BalancerHarness harness = TwoZones();
  harness.Handle(ZoneQuotas{{0, 0}});
  EXPECT_FALSE(harness.SubmitRequest(1, 2));
  int rejected = 0;
  for (int i = 0; i < 100; ++i) {
    harness.AdvanceTime(10);
    rejected += harness.CountActions<Reject>();
  }
  EXPECT_EQ(rejected, 1);
  EXPECT_TRUE(harness.sent.empty());
}

TEST(ZoneQuota, InvalidNumbersOrZones_SetNoLimit) {
  BalancerHarness harness = TwoZones();
  harness.Handle(ZoneQuotas{{std::nan(""), HUGE_VAL, 0, 0, 0}});
  EXPECT_TRUE(harness.SubmitRequest(1));
  harness.Handle(ZoneQuotas{{}});
  EXPECT_TRUE(harness.SubmitRequest(2));
  harness.UpdateEndpoints({Entry(1, -1), Entry(2, 9)});
  harness.Handle(ZoneQuotas{{0, 0}});
  EXPECT_TRUE(harness.SubmitRequest(3));
}

TEST(ZoneQuota, AllZonesUnlimited_SameDecisionsAsWithoutQuotas) {
  BalancerHarness with = TwoZones(), without = TwoZones();
  with.Handle(ZoneQuotas{{-1, -1}});
  int sent = 0;
  for (RequestId id = 1; id <= 300; ++id) {
    const auto server = with.SubmitRequest(id, static_cast<int>(id % 3));
    ASSERT_EQ(server, without.SubmitRequest(id, static_cast<int>(id % 3)));
    with.now += 7;
    without.now += 7;
    if (!server) continue;
    ++sent;
    with.EndAttempt(id, 0, *server, Outcome::kOk);
    without.EndAttempt(id, 0, *server, Outcome::kOk);
  }
  EXPECT_EQ(sent, 300);
}

}  // namespace
}  // namespace badgerbridge::balancer::testing
