// SPDX-License-Identifier: Apache-2.0
//
// Which requests are queued, and when they are rejected.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::next_request_id;
using testing::Rig;
using testing::SubmitAndEnd;
using testing::SubmitUntilQueued;

TEST(Admission, LimitReached_QueuesAndRejectsInTime) {
  Rig rig;
  rig.ListBackends(1);
  EXPECT_NEAR(SubmitUntilQueued(rig, 2), 4.7, 0.9) << "1.5 a backend, a deviation of that and two in a burst";
  double waited = 0;
  while (rig.CountActions<Reject>() == 0 && waited < 2000) {
    rig.AdvanceTime(5);
    waited += 5;
  }
  EXPECT_EQ(rig.CountActions<Reject>(), 1);
  EXPECT_LE(waited, 205) << "within the objective, not at the deadline";
}

// One that is rejected after more than half of its time can do nothing with it.
TEST(Admission, QueuedRequest_IsRejectedInTheFirstHalfOfItsTime) {
  Rig rig;
  rig.UpdateEndpoints({});
  rig.SubmitRequest(1, 0, 10, 100);
  EXPECT_EQ(rig.CountActions<Reject>(), 0);
  rig.AdvanceTime(50);
  EXPECT_EQ(rig.CountActions<Reject>(), 1);
}

TEST(Admission, RequestTooLargeToBeInTime_IsRejectedAtOnce) {
  Rig rig;
  rig.ListBackends(3);
  for (int i = 0; i < 100; ++i) {
    SubmitAndEnd(rig, Outcome::kOk, {}, 15);
    rig.AdvanceTime(50);
  }
  rig.SubmitRequest(next_request_id++, 0, 1000, 900);
  EXPECT_EQ(rig.CountActions<Reject>(), 1) << "about 1500 ms of 900";
  rig.SubmitRequest(next_request_id++, 0, 100, 900);
  EXPECT_EQ(rig.CountActions<Dispatch>(), 1);
}

}  // namespace
}  // namespace badgerbridge::balancer
