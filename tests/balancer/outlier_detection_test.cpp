// SPDX-License-Identifier: Apache-2.0
//
// Tests ejection of backends by failure percentage and their return to service.
#include <gtest/gtest.h>

#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::AnswerRounds;
using testing::BalancerHarness;
using testing::Entry;
using testing::InService;
using testing::next_request_id;
using testing::SubmitAndEnd;
using testing::ThreeClassSettings;

TEST(OutlierDetection, FailuresAtRequestVolume_EjectsAndNotBelow) {
  BalancerHarness harness;
  harness.ListBackends(3);
  AnswerRounds(harness, 2, 2);
  EXPECT_TRUE(InService(harness, 1)) << "two attempts are below the request volume";
  AnswerRounds(harness, 1, 1);
  EXPECT_FALSE(InService(harness, 1));
}

TEST(OutlierDetection, OthersHaveRequestVolume_EjectsOnlyAtOwnRequestVolume) {
  BalancerHarness harness;
  harness.ListBackends(3);
  AnswerRounds(harness, 3, 3, Outcome::kCancelled);  // only backends 2 and 3 reach the request volume
  AnswerRounds(harness, 2, 2);
  EXPECT_TRUE(InService(harness, 1));
  AnswerRounds(harness, 1, 1);
  EXPECT_FALSE(InService(harness, 1));
}

TEST(OutlierDetection, FourOfSixBackendsFail_EjectsNoMoreThanHalf) {
  Settings settings = ThreeClassSettings();
  settings.max_attempts = 1;
  BalancerHarness harness(settings);
  harness.ListBackends(6);
  std::set<BackendId> used_at_end;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    if (i >= 80) used_at_end.insert(*backend);
    harness.EndAttempt(id, 0, *backend, *backend <= 4 ? Outcome::kReset : Outcome::kOk);
  }
  EXPECT_EQ(used_at_end.size(), 3u) << "four of six always fail, but only three are ejected";
}

TEST(OutlierDetection, FailureShareAtThreshold_EjectsOnlyAboveIt) {
  BalancerHarness at;
  at.ListBackends(3);
  // 2 failures of 5 are exactly 0.4. Successes come first, so that no shorter prefix exceeds the threshold.
  for (int i = 0; i < 5; ++i) AnswerRounds(at, 1, i >= 3 ? 1 : 0);
  EXPECT_TRUE(InService(at, 1));
  BalancerHarness over;
  over.ListBackends(3);
  for (int i = 0; i < 4; ++i) AnswerRounds(over, 1, i >= 2 ? 1 : 0);
  EXPECT_FALSE(InService(over, 1));
}

TEST(OutlierDetection, OnlyBackendFails_IsNotEjected) {
  BalancerHarness harness;
  harness.ListBackends(1);
  for (int i = 0; i < 10; ++i) SubmitAndEnd(harness, Outcome::kError, {1});
  EXPECT_TRUE(InService(harness, 1)) << "there is no other backend to compare it with";
}

TEST(OutlierDetection, CancelledUnsentOrUnknownAttempts_AreNotCounted) {
  for (Outcome outcome : {Outcome::kCancelled, Outcome::kNotSent, Outcome::kUnknown}) {
    Settings settings = ThreeClassSettings();
    settings.max_attempts = 1;
    BalancerHarness harness(settings);
    harness.ListBackends(3);
    AnswerRounds(harness, 6, 6, outcome);
    EXPECT_TRUE(InService(harness, 1));
  }
}

TEST(OutlierDetection, EachKindOfFailure_Ejects) {
  for (Outcome outcome :
       {Outcome::kError, Outcome::kRejected, Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset}) {
    Settings settings = ThreeClassSettings();
    settings.max_attempts = 1;
    BalancerHarness harness(settings);
    harness.ListBackends(3);
    AnswerRounds(harness, 3, 3, outcome);
    EXPECT_FALSE(InService(harness, 1)) << static_cast<int>(outcome);
  }
}

TEST(OutlierDetection, BaseEjectionTimePassed_ReturnsToService) {
  BalancerHarness harness;
  harness.ListBackends(3);
  AnswerRounds(harness, 3, 3);
  EXPECT_FALSE(InService(harness, 1));
  harness.AdvanceTime(1999);
  EXPECT_FALSE(InService(harness, 1));
  harness.AdvanceTime(1);
  EXPECT_TRUE(InService(harness, 1)) << "base ejection time x 1";
}

TEST(OutlierDetection, EjectedAgainAfterReturn_EjectionLastsBaseTime) {
  BalancerHarness harness;
  harness.ListBackends(3);
  // The multiplier is 1 at ejection, 0 at return and 1 at the next ejection (A50, step 6b).
  for (int round = 0; round < 3; ++round) {
    AnswerRounds(harness, 3, 3);
    EXPECT_FALSE(InService(harness, 1));
    harness.AdvanceTime(2000);
    EXPECT_TRUE(InService(harness, 1));
    harness.AdvanceTime(2000);
  }
}

TEST(OutlierDetection, IntervalEndsWhileEjected_MultiplierFallsAtReturn) {
  BalancerHarness harness;
  harness.ListBackends(3);
  harness.AdvanceTime(1000);  // halfway through an interval
  AnswerRounds(harness, 3, 3);
  harness.AdvanceTime(1500);  // the interval ends during the ejection
  harness.AdvanceTime(500);
  EXPECT_TRUE(InService(harness, 1));
  AnswerRounds(harness, 3, 3);
  EXPECT_FALSE(InService(harness, 1));
  harness.AdvanceTime(2000);
  EXPECT_TRUE(InService(harness, 1))
      << "the ejection would last twice as long if the multiplier had not fallen";
}

TEST(OutlierDetection, AllBackendsFail_HalfStayInService) {
  BalancerHarness harness;
  harness.ListBackends(4);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    harness.EndAttempt(id, 0, *backend, Outcome::kError);
  }
  std::set<BackendId> in;
  for (BackendId backend = 1; backend <= 4; ++backend) {
    if (InService(harness, backend)) in.insert(backend);
  }
  EXPECT_GE(in.size(), 2u) << "at most half are ejected";
}

TEST(OutlierDetection, AllBackendsFailAlike_NoneIsEjected) {
  BalancerHarness harness;
  harness.ListBackends(3);
  for (int i = 0; i < 40; ++i) SubmitAndEnd(harness, Outcome::kError, {1, 2, 3});
  int in = 0;
  for (BackendId backend = 1; backend <= 3; ++backend) in += InService(harness, backend);
  EXPECT_EQ(in, 3);
}

// With half of the fleet failing, a threshold of twice the others' failure share exceeded 1, and no backend
// was ejected any more.
TEST(OutlierDetection, HalfOfTheOthersFail_BackendThatAlwaysFailsIsEjected) {
  Settings settings = ThreeClassSettings();
  settings.max_attempts = 1;
  BalancerHarness harness(settings);
  harness.ListBackends(4);
  for (int i = 0; i < 24; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    harness.EndAttempt(id, 0, *backend, *backend == 1 || i % 2 ? Outcome::kError : Outcome::kOk);
  }
  EXPECT_FALSE(InService(harness, 1));
}

TEST(OutlierDetection, EjectedBackendListedAgain_StaysEjected) {
  BalancerHarness harness;
  harness.ListBackends(3);
  AnswerRounds(harness, 3, 3);
  harness.UpdateEndpoints({Entry(1, 0, 0, BackendState::kGone)}, EndpointListKind::kDelta);
  harness.UpdateEndpoints({Entry(1)}, EndpointListKind::kDelta);
  EXPECT_FALSE(InService(harness, 1));
}

}  // namespace
}  // namespace badgerbridge::balancer
