// SPDX-License-Identifier: Apache-2.0
//
// How long attempts are waited for, and what unresponsive backends are sent.
#include <gtest/gtest.h>

#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::next_request_id;
using testing::Rig;
using testing::SubmitAndSucceed;

// Time-outs of what was merely late doubled its work; a unresponsive backend must still be shown before the
// client's end.
TEST(AttemptTimeout, BackendOwesNothingOverdue_NoTimeout) {
  Rig rig;
  rig.ListBackends(1);
  for (int i = 0; i < 40; ++i) SubmitAndSucceed(rig);
  rig.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.back().timeout.count(), 0) << "it owes nothing yet";
  rig.AdvanceTime(5);
  rig.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.back().timeout.count(), 0) << "what it owes is not overdue";
}

TEST(AttemptTimeout, UnresponsiveBackend_TimeoutWhereRetryIsPermitted) {
  for (int cls : {0, 1, 2}) {
    Rig rig;
    rig.ListBackends(1);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_request_id++;
      rig.EndAttempt(id, 0, *rig.SubmitRequest(id, cls), Outcome::kOk);
    }
    rig.SubmitRequest(next_request_id++, cls, 10, 2000);
    rig.AdvanceTime(300);
    const RequestId id = next_request_id++;
    ASSERT_TRUE(rig.SubmitRequest(id, cls, 10, 2000).has_value());
    EXPECT_EQ(rig.sent.back().timeout.count() > 0, cls != 2);
  }
}

// A connection that has fallen unresponsive: the backend goes on answering what was sent after this one.
TEST(AttemptTimeout, LaterAttemptsAnswered_StalledOneIsCancelledWhereRetryIsPermitted) {
  for (int cls : {0, 1, 2}) {
    Rig rig;
    rig.ListBackends(2);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_request_id++;
      rig.EndAttempt(id, 0, *rig.SubmitRequest(id, cls), Outcome::kOk);
    }
    const RequestId stuck = next_request_id++;
    const BackendId server = *rig.SubmitRequest(stuck, cls, 10, 1000);
    std::vector<RequestId> later;  // sent there too: together they are more work than the stuck one
    while (later.size() < 3) {
      const RequestId id = next_request_id++;
      ASSERT_LT(id, stuck + 50);
      rig.now += 1;
      if (rig.SubmitRequest(id, cls, 10, 1000) == server) later.push_back(id);
    }
    int abandoned = 0;
    const auto note = [&] {
      for (const Action& action : rig.actions) {
        const auto* abandon = std::get_if<CancelAttempt>(&action);
        if (!abandon) continue;
        EXPECT_EQ(abandon->request, stuck);
        EXPECT_EQ(abandon->attempt, 0);
        ++abandoned;
      }
    };
    for (int i = 0; i < 10; ++i, note()) rig.AdvanceTime(20);
    EXPECT_EQ(abandoned, 0) << "it may be waiting for its turn";
    // Each pair is more work than the stuck one: one of the two goes to its backend.
    for (const RequestId id : later) rig.EndAttempt(id, 0, server, Outcome::kOk);
    note();
    for (int i = 0; i < 10; ++i, note()) rig.AdvanceTime(20);
    EXPECT_EQ(abandoned, cls == 2 ? 0 : 1);
    if (abandoned == 0) continue;
    rig.EndAttempt(stuck, 0, server, Outcome::kCancelled, 400);
    EXPECT_TRUE(rig.SentTo(stuck).has_value());
  }
}

// Cut off from a backend, a proxy must not send it what can't be retried in time, one after the other.
TEST(AttemptTimeout, UnresponsiveBackend_IsTriedNowAndThenByIdempotentRequests) {
  Rig rig;
  rig.ListBackends(3);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = next_request_id++;
    rig.EndAttempt(id, 0, *rig.SubmitRequest(id, i % 3), Outcome::kOk);
  }
  const RequestId lost = next_request_id++;
  const BackendId silent = *rig.SubmitRequest(lost, 2, 10, 900);
  int to_silent = 0, repeatable = 0;
  const auto ask = [&](int cls) {
    const RequestId id = next_request_id++;
    const auto sent_to = rig.SubmitRequest(id, cls, 10, 900);
    ASSERT_TRUE(sent_to.has_value());
    const BackendId at = *sent_to;
    if (at != silent) return rig.EndAttempt(id, 0, at, Outcome::kOk);
    ++to_silent;
    repeatable += cls != 2 && rig.sent.back().timeout.count() > 0;
    rig.EndAttempt(id, 0, at, Outcome::kTimeout, 100);
  };
  rig.AdvanceTime(300);
  for (int i = 0; i < 50; ++i) ask(2);
  EXPECT_EQ(to_silent, 0) << "it owes an answer that is overdue";
  rig.now += 600;
  rig.EndAttempt(lost, 0, silent, Outcome::kTimeout, 900);
  for (int n = 0; n < 2; ++n)
    ASSERT_TRUE(rig.SubmitRequest(next_request_id++, 2, 150, 1e6));  // the others are busy
  for (int i = 0; i < 300; ++i) {
    rig.now += 10;
    ask(i % 3);
  }
  EXPECT_GE(to_silent, 1);
  EXPECT_LE(to_silent, 3) << "3 s";
  EXPECT_EQ(repeatable, to_silent);
}

}  // namespace
}  // namespace badgerbridge::balancer
