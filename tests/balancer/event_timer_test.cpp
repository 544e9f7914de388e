// SPDX-License-Identifier: Apache-2.0
//
// Tests the timer that wakes up the balancer.
#include <gtest/gtest.h>

#include <algorithm>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;

// The simulator rounds times to microseconds: a timer fired a fraction of that early and was not set again,
// so a proxy without other events lost its queued request.
TEST(EventTimer, FiresSlightlyEarly_IsSetAgain) {
  BalancerHarness harness;
  harness.UpdateEndpoints({});
  const std::vector<Action> listed = harness.actions;
  harness.SubmitRequest(1, 0, 10, 300);
  harness.actions.insert(harness.actions.begin(), listed.begin(), listed.end());
  double at = 0;
  std::uint64_t token = 0;
  int finals = 0;
  for (int i = 0; i < 200 && finals == 0; ++i) {
    for (const Action& action : harness.actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        at = timer->at.time_since_epoch().count();
        token = timer->token;
      }
    }
    harness.now = std::max(harness.now + 0.001, at - 0.0004);
    harness.Handle(TimerFired{token});
    finals = harness.CountActions<Reject>() + harness.CountActions<FailRequest>();
  }
  EXPECT_EQ(finals, 1);
  EXPECT_LE(harness.now, 100300);
}

}  // namespace
}  // namespace badgerbridge::balancer
