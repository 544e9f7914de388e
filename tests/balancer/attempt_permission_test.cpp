// SPDX-License-Identifier: Apache-2.0
//
// Tests which requests are retried, rejected or failed.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::Entry;
using testing::next_request_id;
using testing::SubmitAndEnd;
using testing::ThreeClassSettings;

// Whether a request is retried, and whether it may be rejected, after an attempt with an outcome.
struct PermissionCase {
  int request_class;
  Outcome outcome;
  bool retried, may_reject;
};

TEST(AttemptPermission, AttemptEnded_RetriedOrRejectedOnlyWherePermitted) {
  const PermissionCase cases[] = {
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
  for (const PermissionCase& test_case : cases) {
    SCOPED_TRACE(::testing::Message() << "class " << test_case.request_class << " outcome "
                                      << static_cast<int>(test_case.outcome));
    BalancerHarness harness;
    harness.ListBackends(3);
    const auto first = harness.SubmitRequest(1, test_case.request_class);
    ASSERT_TRUE(first.has_value());
    harness.EndAttempt(1, 0, *first, test_case.outcome);
    EXPECT_EQ(harness.SentTo(1).has_value(), test_case.retried);
    if (test_case.retried) {
      EXPECT_NE(harness.SentTo(1), first) << "the retry goes to another backend";
    } else {
      EXPECT_EQ(harness.CountActions<FailRequest>(), 1);
    }
    // Without further attempts, the request is rejected only where that is permitted.
    Settings settings = ThreeClassSettings();
    settings.max_attempts = 1;
    BalancerHarness last(settings);
    last.ListBackends(3);
    const auto only = last.SubmitRequest(1, test_case.request_class);
    last.EndAttempt(1, 0, *only, test_case.outcome);
    EXPECT_EQ(last.CountActions<Reject>(), test_case.may_reject ? 1 : 0);
    EXPECT_EQ(last.CountActions<FailRequest>(), test_case.may_reject ? 0 : 1);
  }
}

TEST(AttemptPermission, KeyedRetry_StaysInDeduplicationScopeAndWindow) {
  for (int first_is_gone : {0, 1}) {
    BalancerHarness harness;
    harness.UpdateEndpoints({Entry(1, 0, 1), Entry(2, 0, 1), Entry(3, 0, 2), Entry(4, 1, 1)});
    BackendId first = *harness.SubmitRequest(next_request_id, 1);
    while (first > 2) {  // start in the cell of backends 1 and 2
      harness.EndAttempt(next_request_id, 0, first, Outcome::kOk);
      first = *harness.SubmitRequest(++next_request_id, 1);
    }
    if (first_is_gone)
      harness.UpdateEndpoints({Entry(3 - first, 0, 1, BackendState::kGone)}, EndpointListKind::kDelta);
    harness.now += 100;
    harness.EndAttempt(next_request_id, 0, first, Outcome::kError);
    EXPECT_EQ(harness.SentTo(next_request_id), first_is_gone ? first : 3 - first);
    harness.now += 401;  // past the 500 ms window
    harness.EndAttempt(next_request_id, 1, first_is_gone ? first : 3 - first, Outcome::kError);
    EXPECT_FALSE(harness.SentTo(next_request_id).has_value());
    EXPECT_EQ(harness.CountActions<FailRequest>(), 1);
    ++next_request_id;
  }
}

// Guards against a request that ran twice: a new process had taken the name and address of the one that may
// have run the request, in another group, and the retry followed it there, where the key is unknown.
TEST(AttemptPermission, KeyedRetry_StaysInTheGroupOfTheProcessThatMayHaveRun) {
  BalancerHarness harness;
  harness.UpdateEndpoints({Entry(1, 0, 1), Entry(2, 0, 2)});
  BackendId first = *harness.SubmitRequest(next_request_id, 1);
  while (first != 1) {
    harness.EndAttempt(next_request_id, 0, first, Outcome::kOk);
    first = *harness.SubmitRequest(++next_request_id, 1);
  }
  constexpr double kStartedAtMs = 100;
  harness.UpdateEndpoints({Entry(1, 0, 2, BackendState::kReady, kStartedAtMs), Entry(3, 0, 1)},
                          EndpointListKind::kDelta);
  harness.EndAttempt(next_request_id, 0, first, Outcome::kReset);
  EXPECT_EQ(harness.SentTo(next_request_id), 3u) << "the other one of the group";
  ++next_request_id;
}

// Hedged copies of slow requests cost other requests more capacity than they gained.
TEST(AttemptPermission, AttemptOutstanding_NoSecondAttemptIsSent) {
  BalancerHarness harness;
  harness.ListBackends(3);
  for (int i = 0; i < 30; ++i) SubmitAndEnd(harness, Outcome::kOk, {});
  for (int i = 0; i < 30; ++i) {
    const RequestId id = next_request_id++;
    harness.EndAttempt(id, 0, *harness.SubmitRequest(id, 0), Outcome::kOk);
  }
  const RequestId id = next_request_id++;
  harness.SubmitRequest(id, 0);
  harness.sent.clear();
  for (int i = 0; i < 100; ++i) harness.AdvanceTime(9);
  EXPECT_TRUE(harness.sent.empty());
}

TEST(AttemptPermission, MaxAttemptsSent_IsRejected) {
  Settings settings = ThreeClassSettings();
  settings.max_attempts = 2;
  BalancerHarness harness(settings);
  harness.ListBackends(5);
  const auto first = harness.SubmitRequest(1, 0);
  harness.EndAttempt(1, 0, *first, Outcome::kConnectFailed);
  const auto second = harness.SentTo(1);
  ASSERT_TRUE(second.has_value());
  harness.EndAttempt(1, 1, *second, Outcome::kConnectFailed);
  EXPECT_FALSE(harness.SentTo(1).has_value());
  EXPECT_EQ(harness.CountActions<Reject>(), 1);
}

}  // namespace
}  // namespace badgerbridge::balancer
