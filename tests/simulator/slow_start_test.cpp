// SPDX-License-Identifier: Apache-2.0
//
// Backends in slow start: what 1, 5, 30 and 300 proxies together send one stays within what the settings
// allow it and chance, on days drawn from a seed.
#include "simulator/slow_start.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "simulator/world.h"

namespace badgerbridge::simulator {
namespace {

using namespace balancer;
using Kind = Happening::Kind;

// ---- the rule itself --------------------------------------------------------------------------------------

BackendModel TwoSlots() {
  BackendModel model;
  model.slots = 2;
  model.slow_start_floor = 0.2;
  model.slow_start_window = Duration(10000);
  model.overload_factor = 2.5;
  model.overload_duration = Duration(1000);
  return model;
}

TEST(SlowStartRule, WhatIsAllowedFollowsTheSettingsAndTheAge) {
  const BackendModel model = TwoSlots();
  EXPECT_DOUBLE_EQ(AllowedCalls(model, 20, Duration(0)), 50);      // 2.5 of 0.4 cores for 1 s
  EXPECT_DOUBLE_EQ(AllowedCalls(model, 20, Duration(5000)), 150);  // 0.6 warm
  EXPECT_DOUBLE_EQ(AllowedCalls(model, 20, Duration(60000)), 250);
  EXPECT_DOUBLE_EQ(MostCalls(100), 122);
  EXPECT_DOUBLE_EQ(MostCalls(9), 12) << "3 sqrt(N) + 3";
  EXPECT_DOUBLE_EQ(MostCalls(1), 5) << "N + 2 sqrt(N) + 2 is less there";
}

// 50 are allowed at the start, and 16.1 more by chance: `calls` of them, `apart` ms after each other.
bool Broken(int calls, double apart, double work = 20, int untold = 0) {
  SlowStart backend(TwoSlots(), 20);
  backend.Start(TimePoint(Duration(1e6)));
  bool broken = false;
  for (int i = 0; i < calls; ++i)
    broken |= backend.Came(TimePoint(Duration(1e6 + i * apart)), work, i >= untold);
  return broken;
}

TEST(SlowStartRule, EveryWindowFromTheStartOnIsJudged) {
  EXPECT_FALSE(Broken(66, 0));
  EXPECT_TRUE(Broken(67, 0)) << "a burst in the first moment";
  EXPECT_FALSE(Broken(300, 20)) << "50 in each second, while ever more are allowed";
  EXPECT_TRUE(Broken(300, 10));
}

TEST(SlowStartRule, CallsAndTheirWorkAreJudgedBoth) {
  EXPECT_TRUE(Broken(34, 0, 40)) << "half as many, twice as heavy";
  EXPECT_TRUE(Broken(67, 0, 1)) << "light ones are calls all the same";
}

TEST(SlowStartRule, WhatComesFromProxiesThatWereNotToldBreaksNothing) {
  EXPECT_FALSE(Broken(100, 0, 20, 60));
  EXPECT_TRUE(Broken(100, 0, 20, 30)) << "over two thirds of them knew";
  EXPECT_TRUE(Broken(167, 0, 20, 100)) << "those who knew are too many by themselves";
}

// ---- days -------------------------------------------------------------------------------------------------

ClassModel Class(const char* name, Idempotency effect, double priority_weight, double share,
                 double mean_work) {
  ClassModel c;
  c.name = name;
  c.rules.effect = effect;
  c.rules.group = DeduplicationScope::kCell;
  c.rules.window = Duration(10000);
  c.rules.latency_objective = Duration(500);
  c.rules.deadline = Duration(2000);
  c.rules.priority_weight = priority_weight;
  c.rules.late_weight = 0.3;
  c.share = share;
  c.work = {Shape::Kind::kLognormal, mean_work, 1, {}};
  return c;
}

// A day of 14 s, all of it drawn from `seed`: sizes, settings, kinds of work, load, and what happens. Zones
// stop and return cold one after another, one of them again before it is warm, under a burst, while proxies
// are killed and start anew, and lists come at their own pace.
class Day {
 public:
  Day(int proxies, std::uint64_t seed) : random_(seed, 41) {
    model_.name = "slow start";
    model_.length = 14000;
    model_.zones = 3, model_.proxies = proxies;
    model_.backends = proxies >= 100 ? 36 : 12;
    DrawBackends();
    DrawLoad();
    DrawTroubles();
    std::stable_sort(model_.happenings.begin(), model_.happenings.end(),
                     [](const Happening& a, const Happening& b) { return a.at < b.at; });
  }
  const Model& model() const { return model_; }

 private:
  double Between(double least, double most) { return least + (most - least) * random_.Unit(); }
  template <typename T>
  T OneOf(std::initializer_list<T> all) {
    return all.begin()[random_.Below(all.size())];
  }

  void DrawBackends() {
    model_.backend.slots = OneOf({1, 2, 4});
    model_.backend.speed = Between(0.5, 1.1);
    model_.backend.slow_start_floor = Between(0.1, 0.4);
    model_.backend.slow_start_window = Duration(Between(4000, 9000));
    model_.backend.overload_factor = Between(1.5, 3);
    model_.backend.overload_duration = Duration(Between(500, 3000));
    model_.backend.falls = false;
  }

  void DrawLoad() {
    model_.classes = {Class("preview", Idempotency::kIdempotent, 1, 5, 40),
                      Class("convert", Idempotency::kIdempotencyKey, 3, 3, 50),
                      Class("certify", Idempotency::kNotIdempotent, 5, 2, 90)};
    const Shape::Kind kind = OneOf({Shape::Kind::kLognormal, Shape::Kind::kLognormal, Shape::Kind::kPareto});
    const bool hinted = random_.Below(4) != 0;
    for (ClassModel& c : model_.classes) {
      c.work.kind = kind;
      c.work.spread = kind == Shape::Kind::kPareto ? 2.5 : Between(0.3, 1.2);
      c.hinted = hinted;
    }
    model_.clients.per_second = 1;
    model_.clients.per_second = Between(0.4, 1) / model_.Utilization();
    model_.clients.tries = 3;
    model_.clients.leaves = 0.1;
    model_.network.reset_share = 0.01;
    model_.network.front_notices = Duration(500);
    model_.network.lag.mean = OneOf({50.0, 300.0, 1200.0});
    model_.max_retry_after = Duration(OneOf({0.0, 600.0}));
    model_.cross_zone_cost = OneOf({0.0, 0.045});
  }

  void Happens(double at, Kind kind, int zone, double share, double value = 1) {
    model_.happenings.push_back({at, kind, zone, share, value});
  }

  void DrawTroubles() {
    const double share = OneOf({0.25, 0.5, 1.0});
    const bool everywhere = random_.Below(4) == 0;  // the first time
    double at = 3000;
    for (const int zone : {everywhere ? -1 : 0, 1, 2}) {
      Happens(at, Kind::kStop, zone, share);
      const double back = at + Between(200, 1500);
      Happens(back, Kind::kStart, zone, share);
      Happens(back + Between(0, 300), Kind::kLoad, -1, 1, Between(1.5, 4));
      Happens(back + Between(800, 1500), Kind::kLoad, -1, 1, 1);
      const double killed = back + Between(100, 1500);
      Happens(killed, Kind::kKill, -1, OneOf({0.3, 0.7, 1.0}));
      Happens(killed + Between(100, 700), Kind::kRevive, -1, 1);
      at += Between(1500, 3000);
    }
    // The first again, cold and gone and cold.
    const double again = at - Between(500, 1000);
    Happens(again, Kind::kStop, 0, share);
    Happens(again + Between(50, 500), Kind::kStart, 0, share);
  }

  Random random_;
  Model model_;
};

struct Played {
  SlowStartShares worst;
  std::uint64_t requests = 0, steps = 0;
  std::string breaches;  // a line each
};

Played Play(int proxies, const std::vector<std::uint64_t>& seeds) {
  Played played;
  for (const std::uint64_t seed : seeds) {
    const Result result = World(Day(proxies, seed).model(), seed).Run();
    played.worst.Raise(result.slow_start);
    for (const ClassResult& c : result.classes) played.requests += c.tries;
    played.steps += result.steps;
    if (!result.breach) continue;
    played.breaches += "seed " + std::to_string(seed) + " step " + std::to_string(result.breach->step) +
                       ": " + result.breach->what + "\n";
  }
  std::printf("slow start: proxies=%d days=%zu requests=%llu steps=%llu worst_calls=%.2f worst_work=%.2f\n",
              proxies, seeds.size(), static_cast<unsigned long long>(played.requests),
              static_cast<unsigned long long>(played.steps), played.worst.calls, played.worst.work);
  return played;
}

struct Days {
  int proxies;
  std::vector<std::uint64_t> seeds;
};
void PrintTo(const Days& days, std::ostream* out) { *out << days.proxies; }
class SlowStartDays : public testing::TestWithParam<Days> {};

TEST_P(SlowStartDays, AllProxiesTogetherStayWithinTheirBound) {
  const Played played = Play(GetParam().proxies, GetParam().seeds);
  EXPECT_EQ(played.breaches, "");
  EXPECT_LE(played.worst.calls, 1);
  EXPECT_LE(played.worst.work, 1);
}

// Among them those on which proxies that had just started broke the rule, each by one call at once.
INSTANTIATE_TEST_SUITE_P(Proxies, SlowStartDays,
                         testing::Values(Days{1, {1001, 1002, 1029}}, Days{5, {5001, 5043, 5056}},
                                         Days{30, {30026, 30033, 30047, 30113}}, Days{300, {300008, 300010}}),
                         [](const auto& days) { return std::to_string(days.param.proxies); });

// ---- faults that are planted here, and must be found ------------------------------------------------------

// Takes every backend for one that has been up for long.
class Unaware : public Core {
 public:
  Unaware(const Settings& settings, std::uint64_t seed) : core_(MakeBadgerbridge(settings, seed)) {}
  RequestId Accept(TimePoint now, Submit submit, Actions* out) override {
    return core_->Accept(now, submit, out);
  }
  void ClientDisconnected(TimePoint now, RequestId request, Actions* out) override {
    core_->ClientDisconnected(now, request, out);
  }
  void AttemptEnded(TimePoint now, const request_table::Send& attempt, Outcome outcome,
                    Actions* out) override {
    core_->AttemptEnded(now, attempt, outcome, out);
  }
  void UpdateEndpoints(TimePoint now, EndpointListUpdate update, Actions* out) override {
    for (BackendEntry& entry : update.entries) entry.up_since = TimePoint{};
    core_->UpdateEndpoints(now, std::move(update), out);
  }
  void Wake(TimePoint now, Actions* out) override { core_->Wake(now, out); }
  std::optional<TimePoint> NextWake() const override { return core_->NextWake(); }
  const std::vector<request_table::RequestCounters>& counters() const override { return core_->counters(); }

 private:
  std::unique_ptr<Core> core_;
};

// One of three zones returns cold while all are asked for more than they can do.
Model Crowded(int proxies) {
  Model model;
  model.length = 9000;
  model.zones = 3, model.proxies = proxies, model.backends = 6;
  model.backend.slots = 2;
  model.backend.slow_start_floor = 0.05;
  model.backend.slow_start_window = Duration(5000);
  model.backend.overload_factor = 1.2;
  model.backend.overload_duration = Duration(500);
  model.backend.falls = false;
  model.classes = {Class("preview", Idempotency::kIdempotent, 1, 1, 10)};
  model.classes[0].work.kind = Shape::Kind::kConstant;
  model.classes[0].rules.latency_objective = Duration(1500);
  model.classes[0].rules.deadline = Duration(3000);
  model.clients.per_second = 1;
  model.clients.per_second = 2 / model.Utilization();
  model.happenings = {{2000, Kind::kStop, 0, 1, 1}, {2500, Kind::kStart, 0, 1, 1}};
  return model;
}

// On each number of proxies the core is found.
void ExpectFound(const CoreFactory& factory) {
  for (const int proxies : {1, 5, 30, 300}) {
    const Result result = World(Crowded(proxies), 1, factory).Run();
    ASSERT_TRUE(result.breach) << proxies;
    EXPECT_EQ(result.breach->rule, Rule::kCold) << result.breach->what;
    EXPECT_GT(std::max(result.slow_start.calls, result.slow_start.work), 1) << proxies;
  }
}

TEST(SlowStartDay, ProxiesThatIgnoreTheBudgetAreFound) {
  ExpectFound(
      [](const Settings& settings, std::uint64_t seed) { return std::make_unique<Unaware>(settings, seed); });
}

// Half of what is sent, counted, is within chance: a proxy aims at 0.55 of what the settings allow.
TEST(SlowStartDay, ProxiesThatCountAnEighthOfWhatTheySendAreFound) {
  ExpectFound([](const Settings& settings, std::uint64_t seed) {
    Settings eightfold = settings;
    eightfold.overload_factor *= 8;
    return MakeBadgerbridge(eightfold, seed);
  });
}

TEST(SlowStartDay, NothingIsFoundWhereNothingIsWrong) {
  for (const int proxies : {1, 5, 30, 300}) {
    const Result result = World(Crowded(proxies), 1).Run();
    EXPECT_FALSE(result.breach) << proxies << ": " << result.breach->what;
    EXPECT_GT(result.slow_start.calls, 0) << proxies;
  }
}

}  // namespace
}  // namespace badgerbridge::simulator
