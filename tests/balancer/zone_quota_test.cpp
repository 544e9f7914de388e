// SPDX-License-Identifier: Apache-2.0
//
// How much of a proxy's work may go to each zone: what the module makes of ZoneQuotas.
#include <gtest/gtest.h>

#include <cmath>

#include "harness.h"

namespace badgerbridge::balancer::testing {
namespace {

// Two zones of two backends each, classes of worth 1, 1 and 5.
Rig TwoZones() {
  Settings settings = Usual();
  settings.classes[2].priority_weight = 5;
  Rig rig(settings);
  rig.UpdateEndpoints({Entry(1, 0), Entry(2, 0), Entry(3, 1), Entry(4, 1)});
  return rig;
}

TEST(ZoneQuota, ZoneWithoutQuota_GetsNothingAndOthersAll) {
  Rig rig = TwoZones();
  rig.Handle(ZoneQuotas{{0, -1}});
  for (RequestId id = 1; id <= 20; ++id) {
    const auto server = rig.SubmitRequest(id);
    ASSERT_TRUE(server);
    EXPECT_GE(*server, 3u);
    rig.now += 20;
    rig.EndAttempt(id, 0, *server, Outcome::kOk);
  }
}

TEST(ZoneQuota, TimePasses_QuotaAccruesUpToASecondOfIt) {
  Rig rig = TwoZones();
  rig.Handle(ZoneQuotas{{0.1, 0}});  // a request of 10 ms each 100 ms
  EXPECT_FALSE(rig.SubmitRequest(1, 2)) << "nothing is earned yet";
  rig.AdvanceTime(150);
  const auto first = rig.SentTo(1);
  ASSERT_TRUE(first);
  rig.EndAttempt(1, 0, *first, Outcome::kOk);
  // However long nothing came, no more than a second's worth goes at once.
  rig.AdvanceTime(60000);
  int sent = 0;
  for (RequestId id = 100; id < 120; ++id) {
    const auto server = rig.SubmitRequest(id, 2);
    if (!server) continue;
    ++sent;
    rig.EndAttempt(id, 0, *server, Outcome::kOk);
  }
  EXPECT_EQ(sent, 10);
}

TEST(ZoneQuota, LowPriority_LeavesPartOfTheQuotaToOthers) {
  Rig rig = TwoZones();
  rig.Handle(ZoneQuotas{{0.1, 0}});
  rig.AdvanceTime(300);  // 30 of 100: under the 40 that worth 1 of 5 leaves alone
  EXPECT_FALSE(rig.SubmitRequest(1, 0));
  EXPECT_TRUE(rig.SubmitRequest(2, 2));
}

TEST(ZoneQuota, UnlimitedZoneBecomesLimited_AccruesFromThen) {
  Rig rig = TwoZones();
  rig.Handle(ZoneQuotas{{-1, -1}});
  rig.AdvanceTime(10000);
  rig.Handle(ZoneQuotas{{0.1, 0}});
  EXPECT_FALSE(rig.SubmitRequest(1, 2));
  rig.AdvanceTime(100);
  EXPECT_TRUE(rig.SentTo(1));
}

TEST(ZoneQuota, NoZoneHasCapacity_RejectedOnceAndNeverSent) {
  Rig rig = TwoZones();
  rig.Handle(ZoneQuotas{{0, 0}});
  EXPECT_FALSE(rig.SubmitRequest(1, 2));
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    rig.AdvanceTime(10);
    refused += rig.CountActions<Reject>();
  }
  EXPECT_EQ(refused, 1);
  EXPECT_TRUE(rig.sent.empty());
}

TEST(ZoneQuota, InvalidNumbersOrZones_SetNoLimit) {
  Rig rig = TwoZones();
  rig.Handle(ZoneQuotas{{std::nan(""), HUGE_VAL, 0, 0, 0}});
  EXPECT_TRUE(rig.SubmitRequest(1));
  rig.Handle(ZoneQuotas{{}});
  EXPECT_TRUE(rig.SubmitRequest(2));
  rig.UpdateEndpoints({Entry(1, -1), Entry(2, 9)});
  rig.Handle(ZoneQuotas{{0, 0}});
  EXPECT_TRUE(rig.SubmitRequest(3));
}

TEST(ZoneQuota, AllZonesUnlimited_DecidesAsWithoutQuotas) {
  Rig with = TwoZones(), without = TwoZones();
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
