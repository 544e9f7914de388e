// SPDX-License-Identifier: Apache-2.0
//
// When discovery is polled for the endpoint list.
#include <gtest/gtest.h>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::Entry;
using testing::next_request_id;
using testing::Rig;
using testing::Usual;

TEST(EndpointPoller, StartOrFailedCall_Polls) {
  Settings settings = Usual();
  settings.polls_endpoint_list = true;
  settings.max_poll_interval = Duration(10000);
  Rig rig(settings);
  rig.UpdateEndpoints({Entry(1)}, EndpointListKind::kCached);
  EXPECT_EQ(rig.CountActions<Subscribe>(), 1);
  rig.AdvanceTime(100);
  EXPECT_EQ(rig.CountActions<Subscribe>(), 0) << "one call at a time";
  rig.UpdateEndpoints({}, EndpointListKind::kFailed);
  double waited = 0;
  while (rig.CountActions<Subscribe>() == 0 && waited < 20000) {
    rig.AdvanceTime(10);
    waited += 10;
  }
  EXPECT_GE(waited, 200);
  EXPECT_LE(waited, 2500);
  EXPECT_EQ(rig.SubmitRequest(next_request_id++), BackendId{1}) << "the old list serves";
  rig.UpdateEndpoints({Entry(1)});
  for (int i = 0; i < 1000; ++i) {
    rig.AdvanceTime(100);
    EXPECT_EQ(rig.CountActions<Subscribe>(), 0);
  }
}

TEST(EndpointPoller, ListIsPushed_NeverPolls) {
  Rig rig;
  rig.UpdateEndpoints({Entry(1)}, EndpointListKind::kCached);
  for (int i = 0; i < 200; ++i) {
    rig.AdvanceTime(100);
    EXPECT_EQ(rig.CountActions<Subscribe>(), 0);
  }
}

// Whatever the rules allow after a failed call: a change is to be heard of within 6 s of discovery's return.
TEST(EndpointPoller, CallsFailRepeatedly_PollsWithinTwoSeconds) {
  Settings settings = Usual();
  settings.polls_endpoint_list = true;
  settings.max_poll_interval = Duration(40000);
  Rig rig(settings);
  rig.UpdateEndpoints({Entry(1)}, EndpointListKind::kCached);
  for (int i = 0; i < 8; ++i) {
    rig.UpdateEndpoints({}, EndpointListKind::kFailed);
    double waited = 0;
    while (rig.CountActions<Subscribe>() == 0 && waited < 60000) {
      rig.AdvanceTime(50);
      waited += 50;
    }
    EXPECT_LE(waited, 2050) << i;
    EXPECT_GE(waited, 500) << "no storm of calls either";
  }
}

}  // namespace
}  // namespace badgerbridge::balancer
