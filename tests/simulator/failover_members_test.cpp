// SPDX-License-Identifier: Apache-2.0
#include "simulator/failover_members.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "simulator/simulation.h"
#include "simulator/small_model.h"

namespace badgerbridge::simulator {
namespace {

using namespace balancer;
using Kind = ScenarioEvent::Kind;

// Twelve proxies in three zones, one of which slows, one stops and returns in slow start, one is cut one way;
// one is evacuated; etcd is down for a while. The rules hold in every mode, and in the end all members follow
// one decision.
TEST(FailoverMembers, ZoneFaultsInEveryMode_RulesHoldAndMembersAgree) {
  Model model = SmallModel();
  model.zones = 3;
  model.regions = 2;
  model.proxies = 12;
  model.backends = 12;
  model.cross_region_latency = Duration(2);
  model.clients.requests_per_second = 900;
  model.duration_ms = 23000;
  model.events = {{2000, Kind::kSlow, 0, 1, 10},
                  {5000, Kind::kSlow, 0, 1, 1},
                  {7000, Kind::kStop, 1, 1, 1},
                  {8000, Kind::kEtcdDown, -1, 1, 1},
                  {10000, Kind::kStart, 1, 1, 1},
                  {11000, Kind::kEtcdUp, -1, 1, 1},
                  {12000, Kind::kKill, -1, 0.5, 1},
                  {13000, Kind::kRevive, -1, 0.5, 1},
                  {14000, Kind::kCut, 2, 1, 1, ScenarioEvent::Direction::kOut},
                  {16000, Kind::kHeal, 2, 1, 1},
                  {17000, Kind::kEvacuate, 0, 1, 1},
                  {19000, Kind::kReadmit, 0, 1, 1}};
  for (const auto mode : {ZoneFailoverModel::Mode::kOff, ZoneFailoverModel::Mode::kIndependent,
                          ZoneFailoverModel::Mode::kThreshold, ZoneFailoverModel::Mode::kCoordinated}) {
    model.failover.mode = mode;
    Simulation simulation(model, 3);
    const SimulationResult result = simulation.Run();
    ASSERT_FALSE(result.violation) << static_cast<int>(mode) << ": " << result.violation->description;
    ExpectConsistentCounts(result);
    EXPECT_GT(result.ServedWeightShare(), 0.6) << static_cast<int>(mode);
    if (mode != ZoneFailoverModel::Mode::kCoordinated) continue;
    std::uint64_t epoch = 0;
    for (std::size_t i = 0; i < 12; ++i) {
      const zone_failover::Member* member = simulation.failover_members()->member(i);
      ASSERT_TRUE(member && member->decision());
      epoch = std::max(epoch, member->decision()->epoch);
    }
    for (std::size_t i = 0; i < 12; ++i)
      EXPECT_GE(simulation.failover_members()->member(i)->decision()->epoch + 1, epoch);
    // Four heartbeats and a lease renewal a second, and no more for what was lost.
    EXPECT_LT(static_cast<double>(simulation.failover_members()->etcd().calls()) / 12 / 24, 7);
  }
}

// Of load reports and decisions: the leader reads all reports, so that each member's part stays the same.
TEST(FailoverMembers, MoreMembers_SameEtcdTrafficForEach) {
  Model model = SmallModel();
  model.zones = 3;
  model.backends = 12;
  model.clients.requests_per_second = 300;
  model.duration_ms = 10000;
  model.failover.mode = ZoneFailoverModel::Mode::kCoordinated;
  std::vector<double> calls;
  std::vector<double> bytes;
  for (const int proxies : {6, 48}) {
    model.proxies = proxies;
    Simulation simulation(model, 3);
    ASSERT_FALSE(simulation.Run().violation);
    const double proxy_seconds = 10.0 * proxies;
    calls.push_back(static_cast<double>(simulation.failover_members()->etcd().calls()) / proxy_seconds);
    bytes.push_back(static_cast<double>(simulation.failover_members()->etcd().bytes()) / proxy_seconds);
  }
  EXPECT_LT(calls[1], 1.1 * calls[0]);
  EXPECT_LT(bytes[1], 1.1 * bytes[0]);
  EXPECT_GT(bytes[0], 100);
}

}  // namespace
}  // namespace badgerbridge::simulator
