// SPDX-License-Identifier: Apache-2.0
//
// Tests the limit on retries.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::next_request_id;

TEST(RetryBudget, AllAttemptsFail_RetriesAreBounded) {
  BalancerHarness harness;
  harness.ListBackends(5);
  for (int i = 0; i < 300; ++i) {
    const RequestId id = next_request_id++;
    auto backend = harness.SubmitRequest(id, 0);
    for (int attempt = 0; backend; ++attempt) {
      harness.EndAttempt(id, attempt, *backend, Outcome::kError);
      backend = harness.SentTo(id);
    }
  }
  EXPECT_LE(harness.sent.size(), 300u + 20u + 61u)
      << "a full bucket of 20, and a fifth of the first attempts";
  EXPECT_GE(harness.sent.size(), 300u + 20u);
}

}  // namespace
}  // namespace badgerbridge::balancer
