// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The simulator's result of each file in scenarios/, with the proxies' own core in it. The installation of a
/// file is made smaller, so that all of its timetable is played in a second or two: a quarter of the proxies
/// and of the backends, each with a quarter of the slots, and as much less load.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "fingerprint/fingerprint.h"
#include "simulator/scenario.h"
#include "simulator/simulation.h"

namespace badgerbridge::fingerprint {
namespace {

constexpr std::uint64_t kSeeds = 2;
constexpr int kSmaller = 4;
constexpr double kQuantiles[] = {0.5, 0.99, 0.999};

std::vector<std::string> ScenarioNames() {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(SOURCE_DIR "/scenarios"))
    if (entry.path().extension() == ".toml") names.push_back(entry.path().stem().string());
  std::sort(names.begin(), names.end());
  return names;
}

simulator::Model SmallerModel(const std::string& scenario) {
  const auto loaded = simulator::LoadScenario(SOURCE_DIR "/scenarios/" + scenario + ".toml");
  EXPECT_TRUE(loaded.has_value()) << simulator::Message(loaded.error());
  simulator::Model model = loaded.value();
  const int slots_before = model.backends * model.backend.slots;
  model.proxies = std::max(model.zones, model.proxies / kSmaller);
  model.backends = std::max(2 * model.zones, model.backends / kSmaller);
  model.backend.slots = std::max(1, model.backend.slots / kSmaller);
  model.clients.requests_per_second *=
      static_cast<double>(model.backends * model.backend.slots) / slots_before;
  return model;
}

void AddClass(const simulator::ClassResult& result, Digest* digest) {
  digest->Add(result.requested, result.served, result.within_objective, result.rejected, result.failed,
              result.disconnected);
  digest->Add(result.unreachable, result.interrupted, result.submissions, result.attempts, result.cross_zone,
              result.cross_region);
  digest->Add(result.requested_weight, result.served_weight, result.latency.count());
  digest->Add(result.latency.mean(), result.latency.max());
  for (const double quantile : kQuantiles) digest->Add(result.latency.Quantile(quantile));
}

void AddResult(const simulator::SimulationResult& result, Digest* digest) {
  for (const simulator::ClassResult& each : result.classes) AddClass(each, digest);
  digest->Add(result.steps, result.attempts, result.dropped_repeats, result.duration_ms, result.digest);
  for (const double busy : result.utilization) digest->Add(busy);
  digest->Add(result.slow_start.calls, result.slow_start.work, result.violation.has_value());
  if (result.violation) digest->Add(result.violation->rule, result.violation->at, result.violation->step);
}

/// Plays the model, and compares what came of it with what is recorded for `core`.
void CheckRun(const simulator::Model& model, const std::string& core, std::uint64_t seed) {
  simulator::Simulation world(model, seed);
  const simulator::SimulationResult result = world.Run();
  Fingerprint fingerprint(core, seed);
  AddResult(result, &fingerprint.digest());
  if (world.failover_members()) {
    const simulator::EtcdModel& etcd = world.failover_members()->etcd();
    fingerprint.digest().Add(etcd.revision(), etcd.calls(), etcd.bytes());
  }
  fingerprint.EndPart();
  fingerprint.Check();
  EXPECT_GT(result.steps, 20000U);
  EXPECT_GE(result.duration_ms, model.duration_ms);
}

class SimulatorFingerprint : public ::testing::TestWithParam<std::string> {};

TEST_P(SimulatorFingerprint, Scenario_SameResultAsRecorded) {
  const simulator::Model model = SmallerModel(GetParam());
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) CheckRun(model, "simulator/" + GetParam(), seed);
}

TEST_P(SimulatorFingerprint, ScenarioWithZoneFailover_SameResultAsRecorded) {
  simulator::Model model = SmallerModel(GetParam());
  model.failover.mode = simulator::ZoneFailoverModel::Mode::kCoordinated;
  CheckRun(model, "simulator_with_zone_failover/" + GetParam(), 1);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, SimulatorFingerprint, ::testing::ValuesIn(ScenarioNames()),
                         [](const auto& scenario) { return scenario.param; });

}  // namespace
}  // namespace badgerbridge::fingerprint
