// SPDX-License-Identifier: Apache-2.0
//
// Tests when discovery is polled for the endpoint list.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::Entry;
using testing::next_request_id;
using testing::ThreeClassSettings;

TEST(EndpointPoller, StartOrFailedCall_Polls) {
  Settings settings = ThreeClassSettings();
  settings.polls_endpoint_list = true;
  settings.max_poll_interval = Duration(10000);
  BalancerHarness harness(settings);
  harness.UpdateEndpoints({Entry(1)}, EndpointListKind::kCached);
  EXPECT_EQ(harness.CountActions<Subscribe>(), 1);
  harness.AdvanceTime(100);
  EXPECT_EQ(harness.CountActions<Subscribe>(), 0) << "one call at a time";
  harness.UpdateEndpoints({}, EndpointListKind::kFailed);
  double waited = 0;
  while (harness.CountActions<Subscribe>() == 0 && waited < 20000) {
    harness.AdvanceTime(10);
    waited += 10;
  }
  EXPECT_GE(waited, 200);
  EXPECT_LE(waited, 2500);
  EXPECT_EQ(harness.SubmitRequest(next_request_id++), BackendId{1}) << "the cached list stays in use";
  harness.UpdateEndpoints({Entry(1)});
  for (int i = 0; i < 1000; ++i) {
    harness.AdvanceTime(100);
    EXPECT_EQ(harness.CountActions<Subscribe>(), 0);
  }
}

TEST(EndpointPoller, ListIsPushed_NeverPolls) {
  BalancerHarness harness;
  harness.UpdateEndpoints({Entry(1)}, EndpointListKind::kCached);
  for (int i = 0; i < 200; ++i) {
    harness.AdvanceTime(100);
    EXPECT_EQ(harness.CountActions<Subscribe>(), 0);
  }
}

// Changes must arrive within 6 s after discovery has recovered, even with a long poll interval.
TEST(EndpointPoller, CallsFailRepeatedly_PollsWithinTwoSeconds) {
  Settings settings = ThreeClassSettings();
  settings.polls_endpoint_list = true;
  settings.max_poll_interval = Duration(40000);
  BalancerHarness harness(settings);
  harness.UpdateEndpoints({Entry(1)}, EndpointListKind::kCached);
  for (int i = 0; i < 8; ++i) {
    harness.UpdateEndpoints({}, EndpointListKind::kFailed);
    double waited = 0;
    while (harness.CountActions<Subscribe>() == 0 && waited < 60000) {
      harness.AdvanceTime(50);
      waited += 50;
    }
    EXPECT_LE(waited, 2050) << i;
    EXPECT_GE(waited, 500) << "repeated failures don't cause a storm of calls";
  }
}

// Guards against a change in etcd that ends the polls of a discovery whose last call has failed.
TEST(EndpointPoller, ChangeFromAnotherSourceThanDiscovery_LeavesThePollDue) {
  Settings settings = ThreeClassSettings();
  settings.polls_endpoint_list = true;
  settings.max_poll_interval = Duration(10000);
  BalancerHarness harness(settings);
  harness.UpdateEndpoints({Entry(1)}, EndpointListKind::kCached);
  harness.UpdateEndpoints({}, EndpointListKind::kFailed);
  harness.Handle(EndpointListUpdate{EndpointListKind::kDelta, {Entry(2)}, /*answers_poll=*/false});
  double waited = 0;
  while (harness.CountActions<Subscribe>() == 0 && waited < 20000) {
    harness.AdvanceTime(10);
    waited += 10;
  }
  EXPECT_LE(waited, 510);
}

}  // namespace
}  // namespace badgerbridge::balancer
