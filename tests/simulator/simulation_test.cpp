// SPDX-License-Identifier: Apache-2.0
#include "simulator/simulation.h"

#include <gtest/gtest.h>

#include "simulator/scenario.h"
#include "simulator/small_model.h"

namespace badgerbridge::simulator {
namespace {

using namespace balancer;
using Kind = ScenarioEvent::Kind;

TEST(Simulation, NoFaults_NearlyAllServed) {
  const SimulationResult result = Simulation(SmallModel(), 1).Run();
  ASSERT_FALSE(result.violation) << result.violation->description;
  ExpectConsistentCounts(result);
  EXPECT_GT(result.classes[0].requested, 8000u);
  EXPECT_GT(result.ServedWeightShare(), 0.97);
  double busy = 0;
  for (const double each : result.utilization) busy += each / static_cast<double>(result.utilization.size());
  EXPECT_NEAR(busy, SmallModel().Utilization(), 0.03);
}

// Everything at once, again and again from other seeds: the rules hold, the accounts add up.
TEST(Simulation, ManyFaults_RulesHold) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Model model = SmallModel();
    model.clients.disconnect_share = 0.02;
    model.network.reset_share = 0.01;
    model.events = {{2000, Kind::kDrain, -1, 0.2, 0},     {3000, Kind::kSlow, -1, 0.25, 8},
                    {4000, Kind::kStop, 0, 0.5, 0},       {5000, Kind::kKill, -1, 0.5, 0},
                    {6000, Kind::kCut, 1, 1, 0},          {7000, Kind::kStart, -1, 1, 0},
                    {8000, Kind::kHeal, 1, 1, 0},         {8500, Kind::kRevive, -1, 1, 0},
                    {9000, Kind::kStaleLists, -1, 1, 0},  {9500, Kind::kDrain, -1, 0.3, 0},
                    {11000, Kind::kFreshLists, -1, 1, 0}, {12000, Kind::kLoad, -1, 1, 3},
                    {13000, Kind::kPause, -1, 0.2, 700},  {14000, Kind::kErrors, -1, 0.2, 0.5},
                    {15000, Kind::kLoad, -1, 1, 1},       {15500, Kind::kStart, -1, 1, 0}};
    const SimulationResult result = Simulation(model, seed, MakeRequestTableCore, seed % 2 ? 0 : seed).Run();
    ASSERT_FALSE(result.violation) << "seed " << seed << " step " << result.violation->step << ": "
                                   << result.violation->description;
    ExpectConsistentCounts(result);
    EXPECT_GT(result.classes[2].served, 300u);
    EXPECT_GT(result.classes[0].interrupted + result.classes[0].disconnected, 0u);
  }
}

TEST(Simulation, SameSeed_SameRunAndAnotherSeedIsNot) {
  Model model = SmallModel();
  model.duration_ms = 5000;
  model.events = {{1000, Kind::kStop, 0, 0.5, 0}, {2000, Kind::kStart, 0, 0.5, 0}};
  const SimulationResult first = Simulation(model, 7).Run();
  const SimulationResult again = Simulation(model, 7).Run();
  const SimulationResult other = Simulation(model, 8).Run();
  EXPECT_EQ(first.digest, again.digest);
  EXPECT_EQ(first.steps, again.steps);
  EXPECT_NE(first.digest, other.digest);
  EXPECT_NE(first.digest, Simulation(model, 7, MakeRequestTableCore, 3).Run().digest);
}

TEST(Simulation, MaxSteps_RunEndsThere) {
  const SimulationResult result = Simulation(SmallModel(), 1).Run(10000);
  EXPECT_EQ(result.steps, 10000u);
}

// Sixty proxies with two places each, over a zone that slows tenfold: those that stand in it must go on to
// the others. With what waits at slow servers filling their places they served 0.966 to 0.969.
TEST(Simulation, SlowZoneAndSmallProxies_NearlyAllServed) {
  const auto scenario = LoadScenario(std::string(SOURCE_DIR) + "/scenarios/zone_slow.toml");
  ASSERT_TRUE(scenario.has_value());
  Model model = *scenario;
  model.duration_ms = 16000;
  model.proxies = 60;
  model.backends = 12;
  model.clients.requests_per_second = 1680;
  model.events[0].at_ms = 3000;
  model.events[1].at_ms = 15000;
  for (const std::uint64_t seed : {1, 2}) {
    const SimulationResult result = Simulation(model, seed).Run();
    ASSERT_FALSE(result.violation) << result.violation->description;
    EXPECT_GT(result.ServedWeightShare(), 0.975) << "seed " << seed;
  }
}

}  // namespace
}  // namespace badgerbridge::simulator
