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
#include "simulator/world.h"

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
  operator_config::Problems problems;
  simulator::Model model = simulator::LoadScenario(SOURCE_DIR "/scenarios/" + scenario + ".toml", problems);
  EXPECT_TRUE(problems.empty()) << operator_config::FormatProblems(problems);
  const int slots_before = model.backends * model.backend.slots;
  model.proxies = std::max(model.zones, model.proxies / kSmaller);
  model.backends = std::max(2 * model.zones, model.backends / kSmaller);
  model.backend.slots = std::max(1, model.backend.slots / kSmaller);
  model.clients.per_second *= static_cast<double>(model.backends * model.backend.slots) / slots_before;
  return model;
}

void AddClass(const simulator::ClassResult& result, Digest* digest) {
  digest->Add(result.asked, result.served, result.in_aim, result.refused, result.failed, result.left);
  digest->Add(result.unreached, result.cut_short, result.tries, result.attempts, result.crossed, result.far);
  digest->Add(result.worth_asked, result.worth_served, result.latency.count());
  digest->Add(result.latency.mean(), result.latency.most());
  for (const double quantile : kQuantiles) digest->Add(result.latency.Quantile(quantile));
}

void AddResult(const simulator::Result& result, Digest* digest) {
  for (const simulator::ClassResult& each : result.classes) AddClass(each, digest);
  digest->Add(result.steps, result.attempts, result.repeats_dropped, result.length, result.digest);
  for (const double busy : result.busy) digest->Add(busy);
  digest->Add(result.slow_start.calls, result.slow_start.work, result.breach.has_value());
  if (result.breach) digest->Add(result.breach->rule, result.breach->at, result.breach->step);
}

/// Plays the model, and compares what came of it with what is recorded for `core`.
void CheckRun(const simulator::Model& model, const std::string& core, std::uint64_t seed) {
  simulator::World world(model, seed);
  const simulator::Result result = world.Run();
  Fingerprint fingerprint(core, seed);
  AddResult(result, &fingerprint.digest());
  if (world.members()) {
    const simulator::EtcdModel& etcd = world.members()->etcd();
    fingerprint.digest().Add(etcd.revision(), etcd.calls(), etcd.bytes());
  }
  fingerprint.EndPart();
  fingerprint.Check();
  EXPECT_GT(result.steps, 20000U);
  EXPECT_GE(result.length, model.length);
}

class SimulatorFingerprint : public ::testing::TestWithParam<std::string> {};

TEST_P(SimulatorFingerprint, Scenario_SameResultAsRecorded) {
  const simulator::Model model = SmallerModel(GetParam());
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) CheckRun(model, "simulator/" + GetParam(), seed);
}

TEST_P(SimulatorFingerprint, ScenarioWithZoneFailover_SameResultAsRecorded) {
  simulator::Model model = SmallerModel(GetParam());
  model.decision.decide = simulator::RegionsModel::Decide::kTogether;
  CheckRun(model, "simulator_with_zone_failover/" + GetParam(), 1);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, SimulatorFingerprint, ::testing::ValuesIn(ScenarioNames()),
                         [](const auto& scenario) { return scenario.param; });

}  // namespace
}  // namespace badgerbridge::fingerprint
