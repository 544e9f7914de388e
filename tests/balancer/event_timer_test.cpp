// SPDX-License-Identifier: Apache-2.0
//
// The timer that the balancer asks its caller for.
#include <gtest/gtest.h>

#include <algorithm>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::Rig;

// The simulator reckons in microseconds: a timer fired one part of that early, was not set again, and a proxy
// with no other event lost the request it queued.
TEST(EventTimer, FiresALittleEarly_IsSetAgain) {
  Rig rig;
  rig.UpdateEndpoints({});
  const std::vector<Action> listed = rig.actions;
  rig.SubmitRequest(1, 0, 10, 300);
  rig.actions.insert(rig.actions.begin(), listed.begin(), listed.end());
  double at = 0;
  std::uint64_t token = 0;
  int finals = 0;
  for (int i = 0; i < 200 && finals == 0; ++i) {
    for (const Action& action : rig.actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        at = timer->at.time_since_epoch().count();
        token = timer->token;
      }
    }
    rig.now = std::max(rig.now + 0.001, at - 0.0004);
    rig.Handle(TimerFired{token});
    finals = rig.CountActions<Reject>() + rig.CountActions<FailRequest>();
  }
  EXPECT_EQ(finals, 1);
  EXPECT_LE(rig.now, 100300);
}

}  // namespace
}  // namespace badgerbridge::balancer
