// SPDX-License-Identifier: Apache-2.0
//
// Tests requests of clients that have already waited for earlier tries.
#include <gtest/gtest.h>

#include <variant>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::At;
using testing::BalancerHarness;
using testing::next_request_id;
using testing::ThreeClassSettings;

// The last try of a client has only the rest of its deadline. Served in the order of the queue, it was
// always late and delayed others: 17 proxies answered a fifth of all requests after their objective (i896537,
// ied95d3).
TEST(ClientTimeout, PartOfDeadlineElapsed_IsDeductedFromObjective) {
  Settings settings = ThreeClassSettings();
  settings.max_retry_after = Duration(300);
  BalancerHarness harness(settings);
  harness.ListBackends(3);
  auto served = [&](double time_left, bool client_retry = false) {
    Submit submit;
    submit.request = next_request_id++;
    submit.request_class = 2;
    submit.has_hint = true;
    submit.work_ms = 10;
    submit.due = At(harness.now + time_left);
    submit.client_retry = client_retry;
    harness.Handle(submit);
    const auto server = harness.SentTo(submit.request);
    if (server) harness.EndAttempt(submit.request, 0, *server, Outcome::kOk);
    return server.has_value();
  };
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(served(i % 2 ? 600 : 500)) << "no usual timeout yet";
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(served(600));
  EXPECT_TRUE(served(900)) << "100 of 1000 ms have elapsed, of an objective of 200 ms";
  EXPECT_FALSE(served(780)) << "220 ms have elapsed";
  EXPECT_FALSE(served(600, true)) << "about 200 ms: half of the maximum before a marked retry";
  const auto* reject = std::get_if<Reject>(&harness.actions.front());
  ASSERT_NE(reject, nullptr);
  EXPECT_EQ(reject->retry_after.count(), 300) << "another attempt would be even later";
  EXPECT_TRUE(served(600));
}

}  // namespace
}  // namespace badgerbridge::balancer
