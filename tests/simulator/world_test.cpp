// SPDX-License-Identifier: Apache-2.0
#include "simulator/world.h"

#include <gtest/gtest.h>

#include <functional>

#include "simulator/scenario.h"

namespace badgerbridge::simulator {
namespace {

using namespace balancer;
using Kind = Happening::Kind;

ClassModel Class(const char* name, Idempotency effect, double priority_weight, double share) {
  ClassModel c;
  c.name = name;
  c.rules.effect = effect;
  c.rules.group = DeduplicationScope::kCell;
  c.rules.window = Duration(10000);
  c.rules.latency_objective = Duration(300);
  c.rules.deadline = Duration(1000);
  c.rules.priority_weight = priority_weight;
  c.rules.late_weight = 0.3;
  c.share = share;
  c.work = {Shape::Kind::kLognormal, 20, 1, {}};
  return c;
}

// Three classes, 4 proxies and 8 backends in 2 zones, at half of what they can do.
Model Small() {
  Model model;
  model.name = "small";
  model.length = 20000;
  model.zones = 2, model.proxies = 4, model.backends = 8;
  model.backend.slots = 4;
  model.backend.slow_start_floor = 0.16;
  model.backend.slow_start_window = Duration(12000);
  model.backend.overload_factor = 2.5;
  model.backend.overload_duration = Duration(3000);
  model.classes = {Class("preview", Idempotency::kIdempotent, 1, 6),
                   Class("convert", Idempotency::kIdempotencyKey, 3, 3),
                   Class("certify", Idempotency::kNotIdempotent, 5, 1)};
  model.clients.per_second = 800;
  model.clients.tries = 3;
  model.max_retry_after = Duration(600);
  return model;
}

void ExpectAccounts(const Result& result) {
  for (const ClassResult& c : result.classes) {
    EXPECT_EQ(c.asked, c.served + c.refused + c.failed + c.left + c.unreached + c.cut_short);
    EXPECT_EQ(c.latency.count(), c.served);
    EXPECT_GE(c.tries, c.asked - c.unreached);
  }
}

TEST(World, ACalmInstallationServesNearlyAll) {
  const Result result = World(Small(), 1).Run();
  ASSERT_FALSE(result.breach) << result.breach->what;
  ExpectAccounts(result);
  EXPECT_GT(result.classes[0].asked, 8000u);
  EXPECT_GT(result.worth_share(), 0.97);
  double busy = 0;
  for (const double b : result.busy) busy += b / static_cast<double>(result.busy.size());
  EXPECT_NEAR(busy, Small().Utilization(), 0.03);
}

// Everything at once, again and again from other seeds: the rules hold, the accounts add up.
TEST(World, TroublesBreakNoRule) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Model model = Small();
    model.clients.leaves = 0.02;
    model.network.reset_share = 0.01;
    model.happenings = {{2000, Kind::kDrain, -1, 0.2, 0},     {3000, Kind::kSlow, -1, 0.25, 8},
                        {4000, Kind::kStop, 0, 0.5, 0},       {5000, Kind::kKill, -1, 0.5, 0},
                        {6000, Kind::kCut, 1, 1, 0},          {7000, Kind::kStart, -1, 1, 0},
                        {8000, Kind::kHeal, 1, 1, 0},         {8500, Kind::kRevive, -1, 1, 0},
                        {9000, Kind::kStaleLists, -1, 1, 0},  {9500, Kind::kDrain, -1, 0.3, 0},
                        {11000, Kind::kFreshLists, -1, 1, 0}, {12000, Kind::kLoad, -1, 1, 3},
                        {13000, Kind::kPause, -1, 0.2, 700},  {14000, Kind::kWrong, -1, 0.2, 0.5},
                        {15000, Kind::kLoad, -1, 1, 1},       {15500, Kind::kStart, -1, 1, 0}};
    const Result result = World(model, seed, MakeBadgerbridge, seed % 2 ? 0 : seed).Run();
    ASSERT_FALSE(result.breach) << "seed " << seed << " step " << result.breach->step << ": "
                                << result.breach->what;
    ExpectAccounts(result);
    EXPECT_GT(result.classes[2].served, 300u);
    EXPECT_GT(result.classes[0].cut_short + result.classes[0].left, 0u);
  }
}

TEST(World, TheSameSeedIsTheSameRunAndAnotherIsNot) {
  Model model = Small();
  model.length = 5000;
  model.happenings = {{1000, Kind::kStop, 0, 0.5, 0}, {2000, Kind::kStart, 0, 0.5, 0}};
  const Result a = World(model, 7).Run(), b = World(model, 7).Run(), c = World(model, 8).Run();
  EXPECT_EQ(a.digest, b.digest);
  EXPECT_EQ(a.steps, b.steps);
  EXPECT_NE(a.digest, c.digest);
  EXPECT_NE(a.digest, World(model, 7, MakeBadgerbridge, 3).Run().digest);
}

TEST(World, ARunIsBounded) {
  const Result result = World(Small(), 1).Run(10000);
  EXPECT_EQ(result.steps, 10000u);
}

// ---- faults that are planted here, and must be found
// -------------------------------------------------------

// The product's core with one thing wrong.
class Faulty : public Core {
 public:
  using Mend = std::function<void(Actions&)>;
  Faulty(const Settings& settings, std::uint64_t seed) : core_(MakeBadgerbridge(settings, seed)) {}
  RequestId Accept(TimePoint now, Submit submit, Actions* out) override {
    classes_.push_back(submit.request_class);
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
    core_->UpdateEndpoints(now, std::move(update), out);
  }
  void Wake(TimePoint now, Actions* out) override { core_->Wake(now, out); }
  std::optional<TimePoint> NextWake() const override { return core_->NextWake(); }
  const std::vector<request_table::RequestCounters>& counters() const override { return core_->counters(); }

 protected:
  std::unique_ptr<Core> core_;
  std::vector<int> classes_;
};

// Sends a certified copy again, one time in so many, though it may have run.
class Repeats : public Faulty {
 public:
  using Faulty::Faulty;
  void AttemptEnded(TimePoint now, const request_table::Send& attempt, Outcome outcome,
                    Actions* out) override {
    const bool certify = classes_[attempt.request - 1] == 2;
    if (certify && attempt.attempt == 0 && outcome == Outcome::kError) {
      request_table::Send again = attempt;
      again.attempt = 1, again.sent_at = now;
      out->push_back(again);
      return;
    }
    core_->AttemptEnded(now, attempt, outcome, out);
  }
};
class Forgets : public Faulty {  // does not answer what was refused
 public:
  using Faulty::Faulty;
  void Wake(TimePoint now, Actions* out) override {
    core_->Wake(now, out);
    std::erase_if(*out, [](const request_table::Action& a) {
      return std::holds_alternative<request_table::Respond>(a);
    });
  }
};
class Ignores : public Faulty {  // drains
 public:
  using Faulty::Faulty;
  void UpdateEndpoints(TimePoint now, EndpointListUpdate update, Actions* out) override {
    for (BackendEntry& entry : update.entries) entry.state = BackendState::kReady;
    core_->UpdateEndpoints(now, std::move(update), out);
  }
};
class Herds : public Faulty {  // sends all previews to the one that started last
 public:
  using Faulty::Faulty;
  void UpdateEndpoints(TimePoint now, EndpointListUpdate update, Actions* out) override {
    if (update.kind == EndpointListKind::kDelta) newest_ = update.entries.front().server;
    core_->UpdateEndpoints(now, std::move(update), out);
  }
  RequestId Accept(TimePoint now, Submit submit, Actions* out) override {
    const RequestId request = core_->Accept(now, submit, out);
    for (request_table::Action& action : *out) {
      if (auto* send = std::get_if<request_table::Send>(&action);
          send && newest_ != 0 && submit.request_class == 0)
        send->server = newest_;
    }
    return request;
  }

 private:
  BackendId newest_ = 0;
};

template <typename Core>
std::optional<Breach> Play(const Model& model) {
  return World(model, 1,
               [](const Settings& s, std::uint64_t seed) { return std::make_unique<Core>(s, seed); })
      .Run()
      .breach;
}

TEST(World, PlantedFaultsAreFound) {
  Model wrong = Small();
  wrong.happenings = {{1000, Kind::kWrong, -1, 1, 0.02}};
  const auto twice = Play<Repeats>(wrong);
  ASSERT_TRUE(twice);
  EXPECT_EQ(twice->rule, Rule::kTwice) << twice->what;

  Model crowd = Small();
  crowd.happenings = {{1000, Kind::kLoad, -1, 1, 4}};
  const auto lost = Play<Forgets>(crowd);
  ASSERT_TRUE(lost);
  EXPECT_EQ(lost->rule, Rule::kLost) << lost->what;

  Model drains = Small();
  drains.happenings = {{1000, Kind::kDrain, -1, 0.25, 0}};
  const auto drain = Play<Ignores>(drains);
  ASSERT_TRUE(drain);
  EXPECT_EQ(drain->rule, Rule::kDrain) << drain->what;

  Model starts = Small();
  starts.happenings = {{1000, Kind::kStart, 0, 0.25, 0}};
  const auto cold = Play<Herds>(starts);
  ASSERT_TRUE(cold);
  EXPECT_EQ(cold->rule, Rule::kCold) << cold->what;
  EXPECT_FALSE(Play<Faulty>(starts)) << "and is not, where nothing is wrong";
}

// ---- scenario files ---------------------------------------------------------------------------------------

TEST(Scenario, ProblemsAreToldWithTheirPlaces) {
  operator_config::Problems problems;
  ParseScenario(
      "length = \"5 parsecs\"\n[installation]\nproxies = 0\nconverters = 100000\nbogus = 1\n"
      "[[class]]\nname = \"a\"\neffect = \"quantum\"\naim = \"2s\"\ndeadline = \"1s\"\n"
      "[[happening]]\nat = \"1s\"\nwhat = \"flood\"\n",
      "s.toml", problems);
  const std::string lines = operator_config::FormatProblems(problems);
  for (const char* part :
       {"s.toml:1:", "s.toml:3:", "s.toml:4:", "bogus", "s.toml:8:", "quantum", "s.toml:10:", "s.toml:13:"})
    EXPECT_NE(lines.find(part), std::string::npos) << part << " in\n" << lines;
}

TEST(Scenario, NonsenseGetsALine) {
  for (const char* text : {"", "length = 5", "[installation]\n", "[[class]]\nname = \"a\"\n",
                           "[installation]\nconverters = 0\n[[class]]\nname = \"a\"\n",
                           "[installation]\n[clients]\nper_second = 1000000000000\n[[class]]\nname = \"a\"\n",
                           "[installation]\nzones = 2\n[[class]]\nname = \"a\"\n[[happening]]\nat = "
                           "\"1s\"\nwhat = \"cut\"\nzone = 2\n",
                           "\xff", "[installation\n"}) {
    operator_config::Problems problems;
    const Model model = ParseScenario(text, "s.toml", problems);
    const bool fine = problems.empty();
    EXPECT_FALSE(fine) << text;
    if (!fine) {
      EXPECT_NE(operator_config::FormatProblems(problems).find("s.toml"), std::string::npos);
    }
  }
}

// Sixty proxies with two places each, over a zone that slows tenfold: those that stand in it must go on to
// the others. With what waits at slow servers filling their places they served 0.966 to 0.969.
TEST(World, ASlowZoneDoesNotTakeThePlacesOfASmallProxy) {
  operator_config::Problems problems;
  Model model = LoadScenario(std::string(SOURCE_DIR) + "/scenarios/zone_slow.toml", problems);
  ASSERT_TRUE(problems.empty());
  model.length = 16000;
  model.proxies = 60, model.backends = 12;
  model.clients.per_second = 1680;
  model.happenings[0].at = 3000, model.happenings[1].at = 15000;
  for (const std::uint64_t seed : {1, 2}) {
    const Result result = World(model, seed).Run();
    ASSERT_FALSE(result.breach) << result.breach->what;
    EXPECT_GT(result.worth_share(), 0.975) << "seed " << seed;
  }
}

// Twelve proxies in three zones, one of which stops and returns cold, slows, is cut one way, is evacuated;
// etcd gone for a while. The rules hold whoever decides, and in the end all members go by one decision.
TEST(World, RegionsKeepTheRulesThroughWhatHappensToAZone) {
  Model model = Small();
  model.zones = 3, model.regions = 2, model.proxies = 12, model.backends = 12;
  model.far = Duration(2);
  model.clients.per_second = 900;
  model.length = 23000;
  model.happenings = {{2000, Kind::kSlow, 0, 1, 10},
                      {5000, Kind::kSlow, 0, 1, 1},
                      {7000, Kind::kStop, 1, 1, 1},
                      {8000, Kind::kEtcdDown, -1, 1, 1},
                      {10000, Kind::kStart, 1, 1, 1},
                      {11000, Kind::kEtcdUp, -1, 1, 1},
                      {12000, Kind::kKill, -1, 0.5, 1},
                      {13000, Kind::kRevive, -1, 0.5, 1},
                      {14000, Kind::kCut, 2, 1, 1, Happening::Way::kOut},
                      {16000, Kind::kHeal, 2, 1, 1},
                      {17000, Kind::kEvacuate, 0, 1, 1},
                      {19000, Kind::kReadmit, 0, 1, 1}};
  for (const auto decide : {RegionsModel::Decide::kOff, RegionsModel::Decide::kAlone,
                            RegionsModel::Decide::kCliff, RegionsModel::Decide::kTogether}) {
    model.decision.decide = decide;
    World world(model, 3);
    const Result result = world.Run();
    ASSERT_FALSE(result.breach) << static_cast<int>(decide) << ": " << result.breach->what;
    ExpectAccounts(result);
    EXPECT_GT(result.worth_share(), 0.6) << static_cast<int>(decide);
    if (decide != RegionsModel::Decide::kTogether) continue;
    std::uint64_t epoch = 0;
    for (std::size_t i = 0; i < 12; ++i) {
      const zone_failover::Member* member = world.members()->member(i);
      ASSERT_TRUE(member && member->decision());
      epoch = std::max(epoch, member->decision()->epoch);
    }
    for (std::size_t i = 0; i < 12; ++i) EXPECT_GE(world.members()->member(i)->decision()->epoch + 1, epoch);
    // Four beats and a lease a second, and no more for what was lost.
    EXPECT_LT(static_cast<double>(world.members()->etcd().calls()) / 12 / 24, 7);
  }
}

// Of evidence and decisions: the decider reads all evidence, so that each member's part stays the same.
TEST(World, WhatAMemberCostsEtcdDoesNotGrowWithTheMembers) {
  Model model = Small();
  model.zones = 3, model.backends = 12;
  model.clients.per_second = 300;
  model.length = 10000;
  model.decision.decide = RegionsModel::Decide::kTogether;
  std::vector<double> calls, bytes;
  for (const int proxies : {6, 48}) {
    model.proxies = proxies;
    World world(model, 3);
    ASSERT_FALSE(world.Run().breach);
    const double by = 10.0 * proxies;
    calls.push_back(static_cast<double>(world.members()->etcd().calls()) / by);
    bytes.push_back(static_cast<double>(world.members()->etcd().bytes()) / by);
  }
  EXPECT_LT(calls[1], 1.1 * calls[0]);
  EXPECT_LT(bytes[1], 1.1 * bytes[0]);
  EXPECT_GT(bytes[0], 100);
}

}  // namespace
}  // namespace badgerbridge::simulator
