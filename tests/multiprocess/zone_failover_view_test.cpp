// SPDX-License-Identifier: Apache-2.0
//
// The check of all proxies' quotas together, with each violation planted, and the parser of their answers.
#include "multiprocess/zone_failover_view.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace badgerbridge::multiprocess {
namespace {

// Of two zones, each healthy and with a limit of 10.
ProxyZoneView MakeView(int zone, std::uint64_t epoch, const std::vector<double>& quotas) {
  ProxyZoneView view{zone, epoch, true, false, {}};
  for (const double quota : quotas) view.receivers.push_back({quota, 10, "sound"});
  return view;
}

TEST(ZoneFailoverViewTest, QuotasOfAllEpochsAreCheckedTogetherAgainstTheReceiversLimit) {
  const ProxyZoneView older = MakeView(0, 4, {-1, 3});
  const ProxyZoneView newer = MakeView(0, 5, {-1, 6});
  const ProxyZoneView own = MakeView(1, 5, {0, -1});
  EXPECT_DOUBLE_EQ(MaxQuotaRatio({&older, &newer, &own}), 0.9);
  const ProxyZoneView oldest = MakeView(0, 3, {-1, 3});
  EXPECT_DOUBLE_EQ(MaxQuotaRatio({&older, &newer, &oldest, &own}), 1.2);
  // Without limit elsewhere is a violation; a proxy that follows no decision is not counted.
  const ProxyZoneView unlimited = MakeView(0, 5, {-1, -1});
  const ProxyZoneView undecided = MakeView(0, 0, {-1, -1});
  EXPECT_GT(MaxQuotaRatio({&older, &unlimited}), 1000);
  EXPECT_DOUBLE_EQ(MaxQuotaRatio({&older, &undecided}), 0.3);
  // Its own proxies count where the zone is not healthy.
  ProxyZoneView unhealthy = MakeView(1, 5, {0, 9});
  unhealthy.receivers[1].state = "dark";
  EXPECT_DOUBLE_EQ(MaxQuotaRatio({&older, &unhealthy}), 1.2);
  // A quota of a zone without any limit.
  ProxyZoneView without_limit = MakeView(0, 5, {-1, 1});
  without_limit.receivers[0].limit = 0;
  without_limit.receivers[1].limit = 0;
  EXPECT_GT(MaxQuotaRatio({&without_limit}), 1000);
  EXPECT_EQ(MaxQuotaRatio({}), 0);
}

std::optional<ProxyZoneView> Parse(const char* text) {
  return ParseZoneView(boost::json::parse(text), {"z0", "z1"});
}

TEST(ZoneFailoverViewTest, AnAnswerIsRead) {
  const auto view = Parse(
      R"({"zone":"z1","epoch":3,"in_touch":true,"zones":[{"share":null},{"share":2,"limit":5,"state":"dark"}]})");
  ASSERT_TRUE(view);
  EXPECT_EQ(view->zone, 1);
  ASSERT_EQ(view->receivers.size(), 2u);
  EXPECT_EQ(view->receivers[0].quota, -1);
  EXPECT_EQ(view->receivers[1].quota, 2);
  EXPECT_EQ(view->receivers[1].state, "dark");
}

TEST(ZoneFailoverViewTest, MalformedAnswersAreRejected) {
  for (const char* text : {"{}", R"({"zone":"z9","zones":[{},{}]})", R"({"zone":"z0","zones":[{}]})",
                           R"({"zone":"z0","zones":[1,2]})", R"({"zone":7,"zones":[{},{}]})"})
    EXPECT_FALSE(Parse(text)) << text;
}

}  // namespace
}  // namespace badgerbridge::multiprocess
