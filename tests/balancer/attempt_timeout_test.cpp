// SPDX-License-Identifier: Apache-2.0
//
// Tests the timeouts of attempts and which attempts are sent to unresponsive backends.
#include <gtest/gtest.h>

#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::next_request_id;
using testing::SubmitAndSucceed;

// Timeouts of attempts that were merely late doubled their work. An unresponsive backend must still be
// detected before the client's deadline.
TEST(AttemptTimeout, NothingOverdueAtBackend_NoTimeout) {
  BalancerHarness harness;
  harness.ListBackends(1);
  for (int i = 0; i < 40; ++i) SubmitAndSucceed(harness);
  harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.sent.back().timeout.count(), 0) << "nothing is in flight there";
  harness.AdvanceTime(5);
  harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.sent.back().timeout.count(), 0) << "the attempt in flight is not overdue";
}

TEST(AttemptTimeout, UnresponsiveBackend_TimeoutWhereRetryIsPermitted) {
  for (int request_class : {0, 1, 2}) {
    BalancerHarness harness;
    harness.ListBackends(1);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_request_id++;
      harness.EndAttempt(id, 0, *harness.SubmitRequest(id, request_class), Outcome::kOk);
    }
    harness.SubmitRequest(next_request_id++, request_class, 10, 2000);
    harness.AdvanceTime(300);
    const RequestId id = next_request_id++;
    ASSERT_TRUE(harness.SubmitRequest(id, request_class, 10, 2000).has_value());
    EXPECT_EQ(harness.sent.back().timeout.count() > 0, request_class != 2);
  }
}

// The connection of an attempt has stalled, while the backend answers attempts sent later.
TEST(AttemptTimeout, LaterAttemptsAnswered_StalledOneIsCancelledWhereRetryIsPermitted) {
  for (int request_class : {0, 1, 2}) {
    BalancerHarness harness;
    harness.ListBackends(2);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_request_id++;
      harness.EndAttempt(id, 0, *harness.SubmitRequest(id, request_class), Outcome::kOk);
    }
    const RequestId stalled = next_request_id++;
    const BackendId server = *harness.SubmitRequest(stalled, request_class, 10, 1000);
    std::vector<RequestId> later;  // sent to the same backend
    while (later.size() < 3) {
      const RequestId id = next_request_id++;
      ASSERT_LT(id, stalled + 50);
      harness.now += 1;
      if (harness.SubmitRequest(id, request_class, 10, 1000) == server) later.push_back(id);
    }
    int cancelled = 0;
    const auto count_cancellations = [&] {
      for (const Action& action : harness.actions) {
        const auto* cancel = std::get_if<CancelAttempt>(&action);
        if (!cancel) continue;
        EXPECT_EQ(cancel->request, stalled);
        EXPECT_EQ(cancel->attempt, 0);
        ++cancelled;
      }
    };
    for (int i = 0; i < 10; ++i, count_cancellations()) harness.AdvanceTime(20);
    EXPECT_EQ(cancelled, 0) << "it may still be queued at the backend";
    for (const RequestId id : later) harness.EndAttempt(id, 0, server, Outcome::kOk);
    count_cancellations();
    for (int i = 0; i < 10; ++i, count_cancellations()) harness.AdvanceTime(20);
    EXPECT_EQ(cancelled, request_class == 2 ? 0 : 1);
    if (cancelled == 0) continue;
    harness.EndAttempt(stalled, 0, server, Outcome::kCancelled, 400);
    EXPECT_TRUE(harness.SentTo(stalled).has_value());
  }
}

// A proxy that is cut off from a backend must not keep sending it requests that can't be retried.
TEST(AttemptTimeout, UnresponsiveBackend_IsProbedOnlyByRetryableRequests) {
  BalancerHarness harness;
  harness.ListBackends(3);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = next_request_id++;
    harness.EndAttempt(id, 0, *harness.SubmitRequest(id, i % 3), Outcome::kOk);
  }
  const RequestId lost = next_request_id++;
  const BackendId unresponsive = *harness.SubmitRequest(lost, 2, 10, 900);
  int sent_to_unresponsive = 0, retryable = 0;
  const auto submit = [&](int request_class) {
    const RequestId id = next_request_id++;
    const auto sent_to = harness.SubmitRequest(id, request_class, 10, 900);
    ASSERT_TRUE(sent_to.has_value());
    const BackendId backend = *sent_to;
    if (backend != unresponsive) return harness.EndAttempt(id, 0, backend, Outcome::kOk);
    ++sent_to_unresponsive;
    retryable += request_class != 2 && harness.sent.back().timeout.count() > 0;
    harness.EndAttempt(id, 0, backend, Outcome::kTimeout, 100);
  };
  harness.AdvanceTime(300);
  for (int i = 0; i < 50; ++i) submit(2);
  EXPECT_EQ(sent_to_unresponsive, 0) << "an attempt there is overdue";
  harness.now += 600;
  harness.EndAttempt(lost, 0, unresponsive, Outcome::kTimeout, 900);
  for (int n = 0; n < 2; ++n)
    ASSERT_TRUE(harness.SubmitRequest(next_request_id++, 2, 150, 1e6));  // the others are busy
  for (int i = 0; i < 300; ++i) {
    harness.now += 10;
    submit(i % 3);
  }
  EXPECT_GE(sent_to_unresponsive, 1);
  EXPECT_LE(sent_to_unresponsive, 3) << "in 3 s";
  EXPECT_EQ(retryable, sent_to_unresponsive);
}

}  // namespace
}  // namespace badgerbridge::balancer
