// SPDX-License-Identifier: Apache-2.0
//
// Tests the order in which queued requests are dispatched.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::next_request_id;
using testing::SubmitUntilQueued;
using testing::ThreeClassSettings;

TEST(RequestQueue, HigherPriority_IsDispatchedFirst) {
  Settings settings = ThreeClassSettings();
  settings.classes[2].priority_weight = 1;
  settings.classes[0].priority_weight = 9;
  BalancerHarness harness(settings);
  harness.ListBackends(1);
  const RequestId first = next_request_id;
  SubmitUntilQueued(harness, 2);
  const RequestId low_priority = next_request_id++, high_priority = next_request_id++;
  EXPECT_FALSE(harness.SubmitRequest(low_priority, 2, 10, 5000).has_value());
  EXPECT_FALSE(harness.SubmitRequest(high_priority, 0, 10, 5000).has_value());
  for (RequestId id : {first, first + 1}) harness.EndAttempt(id, 0, 1, Outcome::kOk, 10);
  std::vector<RequestId> order;
  for (const Dispatch& dispatch : harness.sent) order.push_back(dispatch.request);
  const auto high_priority_position = std::find(order.begin(), order.end(), high_priority);
  ASSERT_NE(high_priority_position, order.end());
  EXPECT_EQ(std::find(order.begin(), high_priority_position, low_priority), high_priority_position);
}

// In oldest-first order, an overloaded proxy would send only requests with hardly any time left.
TEST(RequestQueue, EqualPriority_NewestIsDispatchedFirst) {
  BalancerHarness harness;
  harness.ListBackends(1);
  const RequestId first = next_request_id;
  SubmitUntilQueued(harness, 0);
  for (RequestId id : {601u, 602u}) {
    harness.AdvanceTime(10);
    EXPECT_FALSE(harness.SubmitRequest(id, 0, 10, 900).has_value());
  }
  harness.sent.clear();
  for (RequestId id = first; harness.sent.empty(); ++id) harness.EndAttempt(id, 0, 1, Outcome::kOk, 20);
  EXPECT_EQ(harness.sent[0].request, 602u);
}

}  // namespace
}  // namespace badgerbridge::balancer
