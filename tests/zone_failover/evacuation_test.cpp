// SPDX-License-Identifier: Apache-2.0
//
// Predicted distribution of the load of an evacuated zone.
#include "zone_failover/evacuation.h"

#include <gtest/gtest.h>

namespace badgerbridge::zone_failover {
namespace {

TEST(EvacuationPlan, CheapestReceiversAreFilledFirstAndTheRestIsUnplaced) {
  Decision decision;
  decision.zones.resize(4);
  const auto set = [&](std::size_t zone, double served, double limit) {
    decision.zones[zone].served = served;
    decision.zones[zone].limit = limit;
    decision.zones[zone].demand = served;
  };
  set(0, 10, 20);
  set(1, 5, 8);
  set(2, 5, 20);
  set(3, 1, 50);
  decision.zones[3].state = ZoneState::kDegraded;  // not eligible
  ZoneLinks links{Matrix(4, 2), Matrix(4, 1)};
  links.transfer_price.at(0, 2) = 2;
  const auto plan = PlanEvacuation(decision, links, 500, 0);
  ASSERT_EQ(plan.receivers.size(), 2u);
  EXPECT_EQ(plan.receivers[0].zone, 1u);
  EXPECT_EQ(plan.receivers[0].planned_load, 8);
  EXPECT_EQ(plan.receivers[1].planned_load, 12);
  EXPECT_EQ(plan.unplaced_load, 0);
  links.round_trip_ms.at(0, 2) = 300;  // exceeds half of the latency objective
  EXPECT_EQ(PlanEvacuation(decision, links, 500, 0).unplaced_load, 7);
}

}  // namespace
}  // namespace badgerbridge::zone_failover
