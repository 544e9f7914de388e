// SPDX-License-Identifier: Apache-2.0
//
// Tests requests over the quota of their tenant.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::At;
using testing::BalancerHarness;
using testing::ThreeClassSettings;

// Quotas count requests: a limit in work rejected one large request after another at low load.
// With heavy-tailed work, a few requests that were late in any case displaced all others.
TEST(TenantQuota, TenantOverItsQuota_IsDispatchedLast) {
  Settings settings = ThreeClassSettings();
  settings.tenants = {{1}, {1}};
  settings.over_quota_weight = 0.2;
  BalancerHarness harness(settings);
  harness.ListBackends(1);
  auto submit_request = [&](RequestId id, int tenant) {
    Submit submit;
    submit.request = id;
    submit.tenant = tenant;
    submit.due = At(harness.now + 900);
    harness.Handle(submit);
    return harness.SentTo(id).has_value();
  };
  EXPECT_TRUE(submit_request(9001, 0));  // uses the quota of one request per second
  RequestId over_quota = 9002;
  while (submit_request(over_quota, 0)) ASSERT_LT(++over_quota, 9010u);
  EXPECT_FALSE(submit_request(9020, 1));
  harness.now += 1;
  EXPECT_FALSE(submit_request(9021, 0)) << "newer, but over its quota";
  for (RequestId id : {9001u, 9002u}) harness.EndAttempt(id, 0, 1, Outcome::kOk);
  ASSERT_GT(harness.sent.size(), over_quota - 9001);
  EXPECT_EQ(harness.sent[over_quota - 9001].request, 9020u) << "dispatched first of the queued requests";
}

}  // namespace
}  // namespace badgerbridge::balancer
