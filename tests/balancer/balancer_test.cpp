// SPDX-License-Identifier: Apache-2.0
//
// Tests of the balancer as a whole.
#include "badgerbridge/balancer.h"

#include <gtest/gtest.h>

#include <limits>

#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::At;
using testing::BalancerHarness;
using testing::next_request_id;
using testing::ThreeClassSettings;

TEST(Balancer, InvalidInput_IsIgnoredOrRejected) {
  const double inf = std::numeric_limits<double>::infinity(), nan = std::numeric_limits<double>::quiet_NaN();
  BalancerHarness harness;
  EXPECT_FALSE(harness.SubmitRequest(1, 0).has_value()) << "queued until a list arrives";
  harness.UpdateEndpoints({});
  harness.EndAttempt(77, 0, 1, Outcome::kOk);
  harness.Handle(ClientDisconnected{77});
  harness.Handle(StreamStarted{77, 0});
  harness.ListBackends(1);
  EXPECT_EQ(harness.SentTo(1), BackendId{1}) << "queued requests are dispatched once a backend is listed";
  harness.EndAttempt(1, 9, 1, Outcome::kOk);
  harness.EndAttempt(1, -1, 1, Outcome::kOk);
  harness.SubmitRequest(1, 0);
  EXPECT_FALSE(harness.SentTo(1).has_value()) << "a duplicate id";
  harness.SubmitRequest(2, 99);
  EXPECT_EQ(harness.CountActions<Reject>(), 1) << "an unknown class";
  harness.SubmitRequest(3, 0, 10, -50);
  EXPECT_EQ(harness.CountActions<Reject>(), 1) << "due in the past";
  for (double work : {0.0, -5.0, inf, nan, 1e300}) {
    const RequestId id = 100 + next_request_id++;
    Submit submit;
    submit.request = id;
    submit.due = At(harness.now + 500);
    submit.has_hint = true;
    submit.work_ms = work;
    submit.tenant = 4000;
    harness.Handle(submit);
    ASSERT_TRUE(harness.SentTo(id).has_value()) << work;
    AttemptEnded ended;
    ended.request = id;
    ended.server = 1;
    ended.outcome = Outcome::kOk;
    ended.settled = true;
    ended.took = Duration(nan);
    harness.Handle(ended);
  }
  EXPECT_TRUE(harness.SubmitRequest(next_request_id + 1000, 0).has_value());
}

TEST(Balancer, SameEvents_SameActions) {
  BalancerHarness a(ThreeClassSettings(), 7), b(ThreeClassSettings(), 7);
  for (BalancerHarness* harness : {&a, &b}) {
    harness->ListBackends(5);
    for (RequestId id = 1; id <= 200; ++id) {
      const auto backend = harness->SubmitRequest(id, static_cast<int>(id % 3));
      harness->AdvanceTime(3);
      if (backend && id % 4) harness->EndAttempt(id, 0, *backend, id % 5 ? Outcome::kOk : Outcome::kError);
    }
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].server, b.sent[i].server);
}

}  // namespace
}  // namespace badgerbridge::balancer
