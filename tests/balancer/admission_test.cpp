// SPDX-License-Identifier: Apache-2.0
//
// Tests which requests are queued and when they are rejected.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::next_request_id;
using testing::SubmitAndEnd;
using testing::SubmitUntilQueued;

TEST(Admission, LimitReached_QueuesAndRejectsInTime) {
  BalancerHarness harness;
  harness.ListBackends(1);
  EXPECT_NEAR(SubmitUntilQueued(harness, 2), 4.7, 0.9)
      << "1.5 per backend, one standard deviation of that and a burst of two";
  double waited = 0;
  while (harness.CountActions<Reject>() == 0 && waited < 2000) {
    harness.AdvanceTime(5);
    waited += 5;
  }
  EXPECT_EQ(harness.CountActions<Reject>(), 1);
  EXPECT_LE(waited, 205) << "within the objective, not at the deadline";
}

// A request that is rejected in the second half of its time is too late to succeed elsewhere.
TEST(Admission, QueuedRequest_IsRejectedInTheFirstHalfOfItsTime) {
  BalancerHarness harness;
  harness.UpdateEndpoints({});
  harness.SubmitRequest(1, 0, 10, 100);
  EXPECT_EQ(harness.CountActions<Reject>(), 0);
  harness.AdvanceTime(50);
  EXPECT_EQ(harness.CountActions<Reject>(), 1);
}

TEST(Admission, RequestTooLargeToBeInTime_IsRejectedAtOnce) {
  BalancerHarness harness;
  harness.ListBackends(3);
  for (int i = 0; i < 100; ++i) {
    SubmitAndEnd(harness, Outcome::kOk, {}, 15);
    harness.AdvanceTime(50);
  }
  harness.SubmitRequest(next_request_id++, 0, 1000, 900);
  EXPECT_EQ(harness.CountActions<Reject>(), 1) << "takes about 1500 ms, but has 900";
  harness.SubmitRequest(next_request_id++, 0, 100, 900);
  EXPECT_EQ(harness.CountActions<Dispatch>(), 1);
}

}  // namespace
}  // namespace badgerbridge::balancer
