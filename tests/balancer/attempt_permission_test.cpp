// SPDX-License-Identifier: Apache-2.0
//
// Which requests are retried, rejected or failed.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::Entry;
using testing::next_request_id;
using testing::Rig;
using testing::SubmitAndEnd;
using testing::Usual;

// What follows an attempt of each class that ended in each way: sent again, rejected or failed.
struct Verdict {
  int cls;
  Outcome outcome;
  bool again, refusable;
};

TEST(AttemptPermission, AttemptEnded_RetriedOrRejectedOnlyWherePermitted) {
  const Verdict verdicts[] = {
      {0, Outcome::kError, true, true},         {0, Outcome::kTimeout, true, true},
      {0, Outcome::kReset, true, true},         {0, Outcome::kRejected, true, true},
      {0, Outcome::kConnectFailed, true, true}, {1, Outcome::kError, true, false},
      {1, Outcome::kTimeout, true, false},      {1, Outcome::kRejected, true, true},
      {1, Outcome::kConnectFailed, true, true}, {1, Outcome::kReset, true, false},
      {2, Outcome::kError, false, false},       {2, Outcome::kTimeout, false, false},
      {2, Outcome::kReset, false, false},       {2, Outcome::kUnknown, false, false},
      {2, Outcome::kRejected, true, true},      {2, Outcome::kConnectFailed, true, true},
      {2, Outcome::kCancelled, false, false},
  };
  for (const Verdict& v : verdicts) {
    SCOPED_TRACE(::testing::Message() << "class " << v.cls << " outcome " << static_cast<int>(v.outcome));
    Rig rig;
    rig.ListBackends(3);
    const auto first = rig.SubmitRequest(1, v.cls);
    ASSERT_TRUE(first.has_value());
    rig.EndAttempt(1, 0, *first, v.outcome);
    EXPECT_EQ(rig.SentTo(1).has_value(), v.again);
    if (v.again) {
      EXPECT_NE(rig.SentTo(1), first) << "elsewhere";
    } else {
      EXPECT_EQ(rig.CountActions<FailRequest>(), 1);
    }
    // And with no attempt left: rejected only where that is permitted.
    Settings settings = Usual();
    settings.max_attempts = 1;
    Rig last(settings);
    last.ListBackends(3);
    const auto only = last.SubmitRequest(1, v.cls);
    last.EndAttempt(1, 0, *only, v.outcome);
    EXPECT_EQ(last.CountActions<Reject>(), v.refusable ? 1 : 0);
    EXPECT_EQ(last.CountActions<FailRequest>(), v.refusable ? 0 : 1);
  }
}

TEST(AttemptPermission, KeyedRetry_StaysInItsGroupAndWindow) {
  for (int gone : {0, 1}) {
    Rig rig;
    rig.UpdateEndpoints({Entry(1, 0, 1), Entry(2, 0, 1), Entry(3, 0, 2), Entry(4, 1, 1)});
    BackendId first = *rig.SubmitRequest(next_request_id, 1);
    while (first > 2) {  // start in the cell of backends 1 and 2
      rig.EndAttempt(next_request_id, 0, first, Outcome::kOk);
      first = *rig.SubmitRequest(++next_request_id, 1);
    }
    if (gone) rig.UpdateEndpoints({Entry(3 - first, 0, 1, BackendState::kGone)}, EndpointListKind::kDelta);
    rig.now += 100;
    rig.EndAttempt(next_request_id, 0, first, Outcome::kError);
    EXPECT_EQ(rig.SentTo(next_request_id), gone ? first : 3 - first);
    rig.now += 401;  // past the 500 ms window
    rig.EndAttempt(next_request_id, 1, gone ? first : 3 - first, Outcome::kError);
    EXPECT_FALSE(rig.SentTo(next_request_id).has_value());
    EXPECT_EQ(rig.CountActions<FailRequest>(), 1);
    ++next_request_id;
  }
}

// Second copies of slow requests took more from others than they won, where they were allowed.
TEST(AttemptPermission, AttemptOutstanding_NoSecondOneIsSent) {
  Rig rig;
  rig.ListBackends(3);
  for (int i = 0; i < 30; ++i) SubmitAndEnd(rig, Outcome::kOk, {});
  for (int i = 0; i < 30; ++i) {
    const RequestId id = next_request_id++;
    rig.EndAttempt(id, 0, *rig.SubmitRequest(id, 0), Outcome::kOk);
  }
  const RequestId id = next_request_id++;
  rig.SubmitRequest(id, 0);
  rig.sent.clear();
  for (int i = 0; i < 100; ++i) rig.AdvanceTime(9);
  EXPECT_TRUE(rig.sent.empty());
}

TEST(AttemptPermission, MaxAttemptsSent_IsRejected) {
  Settings settings = Usual();
  settings.max_attempts = 2;
  Rig rig(settings);
  rig.ListBackends(5);
  const auto first = rig.SubmitRequest(1, 0);
  rig.EndAttempt(1, 0, *first, Outcome::kConnectFailed);
  const auto second = rig.SentTo(1);
  ASSERT_TRUE(second.has_value());
  rig.EndAttempt(1, 1, *second, Outcome::kConnectFailed);
  EXPECT_FALSE(rig.SentTo(1).has_value());
  EXPECT_EQ(rig.CountActions<Reject>(), 1);
}

}  // namespace
}  // namespace badgerbridge::balancer
