// SPDX-License-Identifier: Apache-2.0
//
// Ejection of backends by failure percentage, and their return to service.
#include <gtest/gtest.h>

#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::AnswerRounds;
using testing::Entry;
using testing::InService;
using testing::next_request_id;
using testing::Rig;
using testing::SubmitAndEnd;
using testing::Usual;

TEST(OutlierDetection, FailuresAtRequestVolume_EjectsAndNotBelow) {
  Rig rig;
  rig.ListBackends(3);
  AnswerRounds(rig, 2, 2);
  EXPECT_TRUE(InService(rig, 1)) << "two attempts are under the volume floor";
  AnswerRounds(rig, 1, 1);
  EXPECT_FALSE(InService(rig, 1));
}

TEST(OutlierDetection, OthersHaveRequestVolume_EjectsOnlyAtOwnRequestVolume) {
  Rig rig;
  rig.ListBackends(3);
  AnswerRounds(rig, 3, 3, Outcome::kCancelled);  // the others qualify, backend 1 has no answer that counts
  AnswerRounds(rig, 2, 2);
  EXPECT_TRUE(InService(rig, 1));
  AnswerRounds(rig, 1, 1);
  EXPECT_FALSE(InService(rig, 1));
}

TEST(OutlierDetection, FourOfSixBackendsFail_EjectsNoMoreThanHalf) {
  Settings settings = Usual();
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.ListBackends(6);
  std::set<BackendId> late_on;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = rig.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    if (i >= 80) late_on.insert(*backend);
    rig.EndAttempt(id, 0, *backend, *backend <= 4 ? Outcome::kReset : Outcome::kOk);
  }
  EXPECT_EQ(late_on.size(), 3u) << "four of six always fail; three are out";
}

TEST(OutlierDetection, FailureShareAtThreshold_EjectsOnlyAboveIt) {
  Rig at;
  at.ListBackends(3);
  // 2 of 5 failing is exactly 0.4; successes first so that no shorter prefix is over the threshold.
  for (int i = 0; i < 5; ++i) AnswerRounds(at, 1, i >= 3 ? 1 : 0);
  EXPECT_TRUE(InService(at, 1));
  Rig over;
  over.ListBackends(3);
  for (int i = 0; i < 4; ++i) AnswerRounds(over, 1, i >= 2 ? 1 : 0);
  EXPECT_FALSE(InService(over, 1));
}

TEST(OutlierDetection, OnlyBackendFails_IsNotEjected) {
  Rig rig;
  rig.ListBackends(1);
  for (int i = 0; i < 10; ++i) SubmitAndEnd(rig, Outcome::kError, {1});
  EXPECT_TRUE(InService(rig, 1)) << "there is nothing to compare a lone backend with";
}

TEST(OutlierDetection, CancelledUnsentOrUnknownAttempts_AreNotCounted) {
  for (Outcome outcome : {Outcome::kCancelled, Outcome::kNotSent, Outcome::kUnknown}) {
    Settings settings = Usual();
    settings.max_attempts = 1;
    Rig rig(settings);
    rig.ListBackends(3);
    AnswerRounds(rig, 6, 6, outcome);
    EXPECT_TRUE(InService(rig, 1));
  }
}

TEST(OutlierDetection, EachKindOfFailure_Ejects) {
  for (Outcome outcome :
       {Outcome::kError, Outcome::kRejected, Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset}) {
    Settings settings = Usual();
    settings.max_attempts = 1;
    Rig rig(settings);
    rig.ListBackends(3);
    AnswerRounds(rig, 3, 3, outcome);
    EXPECT_FALSE(InService(rig, 1)) << static_cast<int>(outcome);
  }
}

TEST(OutlierDetection, BaseEjectionTimePassed_ReturnsToService) {
  Rig rig;
  rig.ListBackends(3);
  AnswerRounds(rig, 3, 3);
  EXPECT_FALSE(InService(rig, 1));
  rig.AdvanceTime(1999);
  EXPECT_FALSE(InService(rig, 1));
  rig.AdvanceTime(1);
  EXPECT_TRUE(InService(rig, 1)) << "base ejection time x 1";
}

TEST(OutlierDetection, EjectedAgainAfterReturn_StaysOutForTheBaseTime) {
  Rig rig;
  rig.ListBackends(3);
  // 1 at ejection, 0 at return, 1 at the next: the same time again, as A50's step 6b has it.
  for (int round = 0; round < 3; ++round) {
    AnswerRounds(rig, 3, 3);
    EXPECT_FALSE(InService(rig, 1));
    rig.AdvanceTime(2000);
    EXPECT_TRUE(InService(rig, 1));
    rig.AdvanceTime(2000);
  }
}

TEST(OutlierDetection, IntervalEndsWhileEjected_MultiplierFallsAtReturn) {
  Rig rig;
  rig.ListBackends(3);
  rig.AdvanceTime(1000);  // half way through an interval
  AnswerRounds(rig, 3, 3);
  rig.AdvanceTime(1500);  // it ends while the backend is out
  rig.AdvanceTime(500);
  EXPECT_TRUE(InService(rig, 1));
  AnswerRounds(rig, 3, 3);
  EXPECT_FALSE(InService(rig, 1));
  rig.AdvanceTime(2000);
  EXPECT_TRUE(InService(rig, 1)) << "twice as long had the multiplier not fallen";
}

TEST(OutlierDetection, AllBackendsFail_HalfStayInService) {
  Rig rig;
  rig.ListBackends(4);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = rig.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    rig.EndAttempt(id, 0, *backend, Outcome::kError);
  }
  std::set<BackendId> in;
  for (BackendId backend = 1; backend <= 4; ++backend) {
    if (InService(rig, backend)) in.insert(backend);
  }
  EXPECT_GE(in.size(), 2u) << "never more than half";
}

TEST(OutlierDetection, AllBackendsFailAlike_NoneIsEjected) {
  Rig rig;
  rig.ListBackends(3);
  for (int i = 0; i < 40; ++i) SubmitAndEnd(rig, Outcome::kError, {1, 2, 3});
  int in = 0;
  for (BackendId backend = 1; backend <= 3; ++backend) in += InService(rig, backend);
  EXPECT_EQ(in, 3);
}

// With half the fleet failing, twice the share elsewhere passed 1 and nothing was ejected any more.
TEST(OutlierDetection, HalfOfTheOthersFail_BackendThatAlwaysFailsIsEjected) {
  Settings settings = Usual();
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.ListBackends(4);
  for (int i = 0; i < 24; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = rig.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    rig.EndAttempt(id, 0, *backend, *backend == 1 || i % 2 ? Outcome::kError : Outcome::kOk);
  }
  EXPECT_FALSE(InService(rig, 1));
}

TEST(OutlierDetection, EjectedBackendListedAgain_StaysEjected) {
  Rig rig;
  rig.ListBackends(3);
  AnswerRounds(rig, 3, 3);
  rig.UpdateEndpoints({Entry(1, 0, 0, BackendState::kGone)}, EndpointListKind::kDelta);
  rig.UpdateEndpoints({Entry(1)}, EndpointListKind::kDelta);
  EXPECT_FALSE(InService(rig, 1));
}

}  // namespace
}  // namespace badgerbridge::balancer
