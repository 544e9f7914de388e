// SPDX-License-Identifier: Apache-2.0
//
// The bound on retries.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::next_request_id;
using testing::Rig;

TEST(RetryBudget, AllAttemptsFail_RetriesAreBounded) {
  Rig rig;
  rig.ListBackends(5);
  for (int i = 0; i < 300; ++i) {
    const RequestId id = next_request_id++;
    auto backend = rig.SubmitRequest(id, 0);
    for (int attempt = 0; backend; ++attempt) {
      rig.EndAttempt(id, attempt, *backend, Outcome::kError);
      backend = rig.SentTo(id);
    }
  }
  EXPECT_LE(rig.sent.size(), 300u + 20u + 61u) << "a store of 20, and a fifth of the first sends";
  EXPECT_GE(rig.sent.size(), 300u + 20u);
}

}  // namespace
}  // namespace badgerbridge::balancer
