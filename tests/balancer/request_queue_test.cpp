// SPDX-License-Identifier: Apache-2.0
//
// The order in which queued requests are dispatched.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::next_request_id;
using testing::Rig;
using testing::SubmitUntilQueued;
using testing::Usual;

TEST(RequestQueue, HigherPriority_IsDispatchedFirst) {
  Settings settings = Usual();
  settings.classes[2].priority_weight = 1;
  settings.classes[0].priority_weight = 9;
  Rig rig(settings);
  rig.ListBackends(1);
  const RequestId first = next_request_id;
  SubmitUntilQueued(rig, 2);
  const RequestId poor = next_request_id++, rich = next_request_id++;
  EXPECT_FALSE(rig.SubmitRequest(poor, 2, 10, 5000).has_value());
  EXPECT_FALSE(rig.SubmitRequest(rich, 0, 10, 5000).has_value());
  for (RequestId id : {first, first + 1}) rig.EndAttempt(id, 0, 1, Outcome::kOk, 10);
  std::vector<RequestId> order;
  for (const Dispatch& dispatch : rig.sent) order.push_back(dispatch.request);
  const auto rich_at = std::find(order.begin(), order.end(), rich);
  ASSERT_NE(rich_at, order.end());
  EXPECT_EQ(std::find(order.begin(), rich_at, poor), rich_at);
}

// Oldest first, an overloaded proxy would send only what has hardly any of its objective left.
TEST(RequestQueue, EqualPriority_NewestIsDispatchedFirst) {
  Rig rig;
  rig.ListBackends(1);
  const RequestId first = next_request_id;
  SubmitUntilQueued(rig, 0);
  for (RequestId id : {601u, 602u}) {
    rig.AdvanceTime(10);
    EXPECT_FALSE(rig.SubmitRequest(id, 0, 10, 900).has_value());
  }
  rig.sent.clear();
  for (RequestId id = first; rig.sent.empty(); ++id) rig.EndAttempt(id, 0, 1, Outcome::kOk, 20);
  EXPECT_EQ(rig.sent[0].request, 602u);
}

}  // namespace
}  // namespace badgerbridge::balancer
