// SPDX-License-Identifier: Apache-2.0
//
// How much of a proxy's work may go to each zone: what the module makes of ZoneQuotas.
#include <gtest/gtest.h>

#include <cmath>

#include "harness.h"

namespace badgerbridge::balancer::testing {
namespace {

// Two zones of two servers each, classes of worth 1, 1 and 5.
Rig TwoZones() {
  Settings settings = Usual();
  settings.classes[2].priority_weight = 5;
  Rig rig(settings);
  rig.List({Entry(1, 0), Entry(2, 0), Entry(3, 1), Entry(4, 1)});
  return rig;
}

TEST(ZoneQuotas, AZoneWithoutAShareGetsNothingAndTheOthersAll) {
  Rig rig = TwoZones();
  rig.Do(ZoneQuotas{{0, -1}});
  for (RequestId id = 1; id <= 20; ++id) {
    const auto server = rig.Ask(id);
    ASSERT_TRUE(server);
    EXPECT_GE(*server, 3u);
    rig.now += 20;
    rig.End(id, 0, *server, Outcome::kOk);
  }
}

TEST(ZoneQuotas, AShareIsEarnedWithTimeAndASecondOfItIsKept) {
  Rig rig = TwoZones();
  rig.Do(ZoneQuotas{{0.1, 0}});  // a request of 10 ms each 100 ms
  EXPECT_FALSE(rig.Ask(1, 2)) << "nothing is earned yet";
  rig.Tick(150);
  const auto first = rig.SentTo(1);
  ASSERT_TRUE(first);
  rig.End(1, 0, *first, Outcome::kOk);
  // However long nothing came, no more than a second's worth goes at once.
  rig.Tick(60000);
  int sent = 0;
  for (RequestId id = 100; id < 120; ++id) {
    const auto server = rig.Ask(id, 2);
    if (!server) continue;
    ++sent;
    rig.End(id, 0, *server, Outcome::kOk);
  }
  EXPECT_EQ(sent, 10);
}

TEST(ZoneQuotas, WhatIsWorthLessLeavesPartOfItToOthers) {
  Rig rig = TwoZones();
  rig.Do(ZoneQuotas{{0.1, 0}});
  rig.Tick(300);  // 30 of 100: under the 40 that worth 1 of 5 leaves alone
  EXPECT_FALSE(rig.Ask(1, 0));
  EXPECT_TRUE(rig.Ask(2, 2));
}

TEST(ZoneQuotas, AZoneThatWasFreeEarnsFromTheMomentAtWhichItIsNot) {
  Rig rig = TwoZones();
  rig.Do(ZoneQuotas{{-1, -1}});
  rig.Tick(10000);
  rig.Do(ZoneQuotas{{0.1, 0}});
  EXPECT_FALSE(rig.Ask(1, 2));
  rig.Tick(100);
  EXPECT_TRUE(rig.SentTo(1));
}

TEST(ZoneQuotas, WhatNoZoneHasRoomForIsRefusedOnceAndNeverSent) {
  Rig rig = TwoZones();
  rig.Do(ZoneQuotas{{0, 0}});
  EXPECT_FALSE(rig.Ask(1, 2));
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    rig.Tick(10);
    refused += rig.Count<Reject>();
  }
  EXPECT_EQ(refused, 1);
  EXPECT_TRUE(rig.sent.empty());
}

TEST(ZoneQuotas, NumbersThatAreNoneAndZonesThatAreNoneSetNoLimit) {
  Rig rig = TwoZones();
  rig.Do(ZoneQuotas{{std::nan(""), HUGE_VAL, 0, 0, 0}});
  EXPECT_TRUE(rig.Ask(1));
  rig.Do(ZoneQuotas{{}});
  EXPECT_TRUE(rig.Ask(2));
  rig.List({Entry(1, -1), Entry(2, 9)});
  rig.Do(ZoneQuotas{{0, 0}});
  EXPECT_TRUE(rig.Ask(3));
}

TEST(ZoneQuotas, WhereAllZonesAreFreeItDecidesAsWithoutThem) {
  Rig with = TwoZones(), without = TwoZones();
  with.Do(ZoneQuotas{{-1, -1}});
  int sent = 0;
  for (RequestId id = 1; id <= 300; ++id) {
    const auto server = with.Ask(id, static_cast<int>(id % 3));
    ASSERT_EQ(server, without.Ask(id, static_cast<int>(id % 3)));
    with.now += 7, without.now += 7;
    if (!server) continue;
    ++sent;
    with.End(id, 0, *server, Outcome::kOk);
    without.End(id, 0, *server, Outcome::kOk);
  }
  EXPECT_EQ(sent, 300);
}

}  // namespace
}  // namespace badgerbridge::balancer::testing
