// SPDX-License-Identifier: Apache-2.0
//
// Backends in slow start: what 1, 5, 30 and 300 proxies together send one stays within what the settings
// allow it and chance, on days drawn from a seed.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "simulator/delegating_core.h"
#include "simulator/simulation.h"

namespace badgerbridge::simulator {
namespace {

using namespace balancer;
using Kind = ScenarioEvent::Kind;

/// A class with lognormal work and deduplication by cell.
ClassModel MakeLongClass(const char* name, Idempotency effect, double priority_weight, double share,
                         double mean_work) {
  ClassModel model;
  model.name = name;
  model.rules.idempotency = effect;
  model.rules.deduplication_scope = DeduplicationScope::kCell;
  model.rules.deduplication_window = Duration(10000);
  model.rules.latency_objective = Duration(500);
  model.rules.deadline = Duration(2000);
  model.rules.priority_weight = priority_weight;
  model.rules.late_weight = 0.3;
  model.share = share;
  model.work = {Distribution::Kind::kLognormal, mean_work, 1, {}};
  return model;
}

/// A day of 14 s, all of it drawn from `seed`: sizes, settings, kinds of work, load and events. Zones stop
/// and return in slow start one after another, one of them again before it is warm, under a burst, while
/// proxies are killed and start anew, and lists arrive with delays of their own.
class Day {
 public:
  Day(int proxies, std::uint64_t seed) : random_(seed, 41) {
    model_.name = "slow start";
    model_.duration_ms = 14000;
    model_.zones = 3;
    model_.proxies = proxies;
    model_.backends = proxies >= 100 ? 36 : 12;
    DrawBackends();
    DrawLoad();
    DrawFaults();
    std::stable_sort(
        model_.events.begin(), model_.events.end(),
        [](const ScenarioEvent& left, const ScenarioEvent& right) { return left.at_ms < right.at_ms; });
  }
  const Model& model() const { return model_; }

 private:
  double DrawBetween(double minimum, double maximum) {
    return minimum + (maximum - minimum) * random_.DrawUnit();
  }
  template <typename T>
  T DrawOneOf(std::initializer_list<T> all) {
    return all.begin()[random_.DrawBelow(all.size())];
  }

  void DrawBackends() {
    model_.backend.slots = DrawOneOf({1, 2, 4});
    model_.backend.speed = DrawBetween(0.5, 1.1);
    model_.backend.slow_start_floor = DrawBetween(0.1, 0.4);
    model_.backend.slow_start_window = Duration(DrawBetween(4000, 9000));
    model_.backend.overload_factor = DrawBetween(1.5, 3);
    model_.backend.overload_duration = Duration(DrawBetween(500, 3000));
    model_.backend.can_fail_from_overload = false;
  }

  void DrawLoad() {
    model_.classes = {MakeLongClass("preview", Idempotency::kIdempotent, 1, 5, 40),
                      MakeLongClass("convert", Idempotency::kIdempotencyKey, 3, 3, 50),
                      MakeLongClass("certify", Idempotency::kNotIdempotent, 5, 2, 90)};
    const Distribution::Kind kind = DrawOneOf(
        {Distribution::Kind::kLognormal, Distribution::Kind::kLognormal, Distribution::Kind::kPareto});
    const bool hinted = random_.DrawBelow(4) != 0;
    for (ClassModel& each : model_.classes) {
      each.work.kind = kind;
      each.work.spread = kind == Distribution::Kind::kPareto ? 2.5 : DrawBetween(0.3, 1.2);
      each.has_work_hint = hinted;
    }
    model_.clients.requests_per_second = 1;
    model_.clients.requests_per_second = DrawBetween(0.4, 1) / model_.Utilization();
    model_.clients.max_submissions = 3;
    model_.clients.disconnect_share = 0.1;
    model_.network.reset_share = 0.01;
    model_.network.failover_detection = Duration(500);
    model_.network.list_delay.mean = DrawOneOf({50.0, 300.0, 1200.0});
    model_.max_retry_after = Duration(DrawOneOf({0.0, 600.0}));
    model_.cross_zone_cost = DrawOneOf({0.0, 0.045});
  }

  void AddEvent(double at, Kind kind, int zone, double share, double value = 1) {
    model_.events.push_back({at, kind, zone, share, value});
  }

  void DrawFaults() {
    const double share = DrawOneOf({0.25, 0.5, 1.0});
    const bool everywhere = random_.DrawBelow(4) == 0;  // the first time
    double at = 3000;
    for (const int zone : {everywhere ? -1 : 0, 1, 2}) {
      AddEvent(at, Kind::kStop, zone, share);
      const double back = at + DrawBetween(200, 1500);
      AddEvent(back, Kind::kStart, zone, share);
      const double load = DrawBetween(1.5, 4);
      AddEvent(back + DrawBetween(0, 300), Kind::kLoad, -1, 1, load);
      AddEvent(back + DrawBetween(800, 1500), Kind::kLoad, -1, 1, 1);
      const double killed = back + DrawBetween(100, 1500);
      AddEvent(killed, Kind::kKill, -1, DrawOneOf({0.3, 0.7, 1.0}));
      AddEvent(killed + DrawBetween(100, 700), Kind::kRevive, -1, 1);
      at += DrawBetween(1500, 3000);
    }
    // The first again, while it is in slow start.
    const double again = at - DrawBetween(500, 1000);
    AddEvent(again, Kind::kStop, 0, share);
    AddEvent(again + DrawBetween(50, 500), Kind::kStart, 0, share);
  }

  Random random_;
  Model model_;
};

/// What came of several days.
struct DaysSummary {
  SlowStartUsage max_usage;
  std::uint64_t submissions = 0;
  std::uint64_t steps = 0;
  std::string violations;  // a line each
};

DaysSummary PlayDays(int proxies, const std::vector<std::uint64_t>& seeds) {
  DaysSummary summary;
  for (const std::uint64_t seed : seeds) {
    const SimulationResult result = Simulation(Day(proxies, seed).model(), seed).Run();
    summary.max_usage.Merge(result.slow_start);
    for (const ClassResult& each : result.classes) summary.submissions += each.submissions;
    summary.steps += result.steps;
    if (!result.violation) continue;
    summary.violations += "seed " + std::to_string(seed) + " step " + std::to_string(result.violation->step) +
                          ": " + result.violation->description + "\n";
  }
  std::printf("slow start: proxies=%d days=%zu requests=%llu steps=%llu worst_calls=%.2f worst_work=%.2f\n",
              proxies, seeds.size(), static_cast<unsigned long long>(summary.submissions),
              static_cast<unsigned long long>(summary.steps), summary.max_usage.calls,
              summary.max_usage.work);
  return summary;
}

/// Days of so many proxies, by their seeds.
struct Days {
  int proxies;
  std::vector<std::uint64_t> seeds;
};
void PrintTo(const Days& days, std::ostream* output) { *output << days.proxies; }
class SlowStartDays : public testing::TestWithParam<Days> {};

TEST_P(SlowStartDays, AllProxiesTogether_StayWithinTheirBound) {
  const DaysSummary summary = PlayDays(GetParam().proxies, GetParam().seeds);
  EXPECT_EQ(summary.violations, "");
  EXPECT_LE(summary.max_usage.calls, 1);
  EXPECT_LE(summary.max_usage.work, 1);
}

// Among them those on which proxies that had just started violated the rule, each by one call at once.
INSTANTIATE_TEST_SUITE_P(Proxies, SlowStartDays,
                         testing::Values(Days{1, {1001, 1002, 1029}}, Days{5, {5001, 5043, 5056}},
                                         Days{30, {30026, 30033, 30047, 30113}}, Days{300, {300008, 300010}}),
                         [](const auto& days) { return std::to_string(days.param.proxies); });

// Takes every backend for one that has been up for long.
class SlowStartIgnoringCore : public DelegatingCore {
 public:
  using DelegatingCore::DelegatingCore;
  void UpdateEndpoints(TimePoint now, EndpointListUpdate update, Actions* actions) override {
    for (BackendEntry& entry : update.entries) entry.up_since = TimePoint{};
    core_->UpdateEndpoints(now, std::move(update), actions);
  }
};

/// One of three zones returns in slow start while all receive more than they can do.
Model OverloadedModel(int proxies) {
  Model model;
  model.duration_ms = 9000;
  model.zones = 3;
  model.proxies = proxies;
  model.backends = 6;
  model.backend.slots = 2;
  model.backend.slow_start_floor = 0.05;
  model.backend.slow_start_window = Duration(5000);
  model.backend.overload_factor = 1.2;
  model.backend.overload_duration = Duration(500);
  model.backend.can_fail_from_overload = false;
  model.classes = {MakeLongClass("preview", Idempotency::kIdempotent, 1, 1, 10)};
  model.classes[0].work.kind = Distribution::Kind::kConstant;
  model.classes[0].rules.latency_objective = Duration(1500);
  model.classes[0].rules.deadline = Duration(3000);
  model.clients.requests_per_second = 1;
  model.clients.requests_per_second = 2 / model.Utilization();
  model.events = {{2000, Kind::kStop, 0, 1, 1}, {2500, Kind::kStart, 0, 1, 1}};
  return model;
}

/// Expects that the core violates the rule, with each number of proxies.
void ExpectViolation(const CoreFactory& factory) {
  for (const int proxies : {1, 5, 30, 300}) {
    const SimulationResult result = Simulation(OverloadedModel(proxies), 1, factory).Run();
    ASSERT_TRUE(result.violation) << proxies;
    EXPECT_EQ(result.violation->rule, Rule::kSlowStartKept) << result.violation->description;
    EXPECT_GT(std::max(result.slow_start.calls, result.slow_start.work), 1) << proxies;
  }
}

TEST(SlowStartSimulation, ProxiesThatIgnoreTheBudget_ViolateTheRule) {
  ExpectViolation(FactoryOf<SlowStartIgnoringCore>());
}

// Counting half of what is sent would be within chance: a proxy targets 0.55 of what the settings allow.
TEST(SlowStartSimulation, ProxiesThatCountAnEighthOfWhatTheySend_ViolateTheRule) {
  ExpectViolation([](const Settings& settings, std::uint64_t seed) {
    Settings eightfold = settings;
    eightfold.overload_factor *= 8;
    return MakeRequestTableCore(eightfold, seed);
  });
}

TEST(SlowStartSimulation, ProductCore_RuleHolds) {
  for (const int proxies : {1, 5, 30, 300}) {
    const SimulationResult result = Simulation(OverloadedModel(proxies), 1).Run();
    EXPECT_FALSE(result.violation) << proxies << ": " << result.violation->description;
    EXPECT_GT(result.slow_start.calls, 0) << proxies;
  }
}

}  // namespace
}  // namespace badgerbridge::simulator
