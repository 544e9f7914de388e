// SPDX-License-Identifier: Apache-2.0
//
// Requests beyond the quota of their tenant.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::At;
using testing::Rig;
using testing::Usual;

// A limit in work queued back and rejected one large request after another on a quiet day.
// Heavy tails: a few requests that cannot be in time whatever is done took the place of all others.
TEST(TenantQuota, TenantOverItsQuota_ComesLast) {
  Settings settings = Usual();
  settings.tenants = {{1}, {1}};
  settings.over_quota_weight = 0.2;
  Rig rig(settings);
  rig.ListBackends(1);
  auto ask = [&](RequestId id, int tenant) {
    Submit submit;
    submit.request = id;
    submit.tenant = tenant;
    submit.due = At(rig.now + 900);
    rig.Handle(submit);
    return rig.SentTo(id).has_value();
  };
  EXPECT_TRUE(ask(9001, 0));  // takes the one request a second of its share
  RequestId beyond = 9002;
  while (ask(beyond, 0)) ASSERT_LT(++beyond, 9010u);
  EXPECT_FALSE(ask(9020, 1));
  rig.now += 1;
  EXPECT_FALSE(ask(9021, 0)) << "newer, but beyond its share";
  for (RequestId id : {9001u, 9002u}) rig.EndAttempt(id, 0, 1, Outcome::kOk);
  ASSERT_GT(rig.sent.size(), beyond - 9001);
  EXPECT_EQ(rig.sent[beyond - 9001].request, 9020u) << "the first of the queued to go";
}

}  // namespace
}  // namespace badgerbridge::balancer
