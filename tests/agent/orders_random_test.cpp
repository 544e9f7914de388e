// SPDX-License-Identifier: Apache-2.0
//
// Random schedules of orders, deaths, hangs and restarts of the agent against the pure core, from fixed
// seeds; the invariants of orders.h are checked at each step.
#include <gtest/gtest.h>

#include <csignal>
#include <set>

#include "agent/orders.h"

namespace badgerbridge::agent {
namespace {

// A world of simulated processes that obeys the actions, late and not always.
class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed), fleet_(seed) {
    for (int i = 0; i < 6; ++i) fleet_.Add("n" + std::to_string(i), "old", false);
  }

  void Step() {
    now_ += Time(Below(120));
    actions_.clear();
    const std::uint64_t kind = Below(100);
    if (kind < 12) {
      SubmitSome();
    } else if (kind < 70) {
      Answer();
    } else if (kind < 76) {
      Die();
    } else if (kind < 78) {
      if (Below(6) == 0) RestartAgent();
    } else if (kind < 80) {
      const std::string name = Some();
      hung_.count(name) ? hung_.erase(name) : hung_.insert(name).second;
    } else if (kind < 82) {
      now_ += Time(5000);
      fleet_.Handle(now_, Tick{}, &actions_);
    } else {
      fleet_.Handle(now_, Tick{}, &actions_);
    }
    Take();
    Check();
  }

  // No new orders, no more hangs: everything must come to an end.
  void Settle() {
    hung_.clear();
    for (int i = 0; i < 5000; ++i) {
      now_ += Time(100);
      actions_.clear();
      fleet_.Handle(now_, Tick{}, &actions_);
      Take();
      actions_.clear();
      Answer();
      Take();
      Check();
      if (std::all_of(fleet_.orders().begin(), fleet_.orders().end(), [](const auto& o) { return o.ended; }))
        return;
    }
    ADD_FAILURE() << "an order has not ended";
  }

  std::uint64_t accepted = 0, conflicts = 0, kills = 0, spawns = 0, restarts = 0, superseded = 0;

 private:
  struct Process {
    pid_t pid = 0;
    bool drained = false, dying = false;
    std::uint64_t applied = 0;
    Time terminated{0};  // by the first SIGTERM
  };

  std::uint64_t Below(std::uint64_t n) { return random_() % n; }
  std::string Some() { return "n" + std::to_string(Below(8)); }

  void SubmitSome() {
    Order order;
    order.id = Below(10) == 0 && next_id_ > 0 ? "o" + std::to_string(next_id_ - 1)
                                              : "o" + std::to_string(next_id_++);
    order.verb = static_cast<Verb>(Below(7));
    std::set<std::string> names;
    for (std::uint64_t n = Below(4) + 1; n > 0; --n) names.insert(Some());
    order.instances.assign(names.begin(), names.end());
    order.who = "w" + std::to_string(Below(2));
    order.supersede = Below(3) == 0;
    order.deadline = Time(200 + Below(4000));
    if (Below(3) == 0) order.force_after = Time(Below(3000));
    order.at_most = static_cast<unsigned>(Below(3));
    if (Below(3) == 0)
      order.against = fleet_.generation() - std::min<std::uint64_t>(fleet_.generation(), Below(3));
    if (order.verb == Verb::kApply) {
      for (const std::string& name : names) order.definitions[name] = Below(4) == 0 ? "" : "new";
    }
    const bool known = fleet_.FindOrder(order.id) != nullptr;
    const std::uint64_t before = fleet_.generation();
    const Verdict verdict = fleet_.Submit(now_, 0, order, &actions_);
    if (verdict.kind == Verdict::Kind::kAccepted) {
      ++accepted;
      EXPECT_FALSE(known) << "carried out twice";
      EXPECT_EQ(fleet_.generation(), before + 1);
      orders_[order.id] = order;
    } else {
      conflicts += verdict.kind == Verdict::Kind::kConflict;
      EXPECT_EQ(fleet_.generation(), before);
      EXPECT_TRUE(actions_.empty());
      EXPECT_FALSE(verdict.text.empty());
    }
  }

  // One of what is owed, drawn at random.
  void Answer() {
    if (!spawning_.empty() && Below(2)) {
      const std::string name = *spawning_.begin();
      spawning_.erase(name);
      if (Below(5) == 0) {
        fleet_.Handle(now_, Spawned{name, 0, "cannot be started"}, &actions_);
      } else {
        processes_[name] = {++pid_, false, false, 0, Time(0)};
        fleet_.Handle(now_, Spawned{name, pid_, ""}, &actions_);
      }
    } else if (!calls_.empty() && Below(2)) {
      const auto [name, drain] = *calls_.begin();
      calls_.erase(calls_.begin());
      Process& process = processes_[name];
      const bool heard = process.pid != 0 && !hung_.count(name);
      if (heard) process.drained = drain;
      fleet_.Handle(now_, CallEnded{name, heard ? "" : "no answer"}, &actions_);
    } else {
      const std::string name = Some();
      Process& process = processes_[name];
      if (process.pid == 0) return;
      if (hung_.count(name)) return fleet_.Handle(now_, Silent{name, "no answer"}, &actions_);
      if (process.dying) return End(name, "exited with 0");
      Observation seen;
      seen.state = process.drained ? Below(2) ? "drained" : "draining" : Below(4) ? "ready" : "starting";
      seen.reloads_applied = process.applied;
      fleet_.Handle(now_, Observed{name, seen, now_}, &actions_);
    }
  }

  void Die() {
    const std::string name = Some();
    if (processes_[name].pid != 0) End(name, "was killed by signal 11");
  }
  void End(const std::string& name, const std::string& how) {
    processes_[name] = {};
    fleet_.Handle(now_, Exited{name, how}, &actions_);
  }

  // Killed at any moment: what was out is lost, what is stored comes back, what runs is adopted.
  void RestartAgent() {
    ++restarts;
    Fleet fresh(Below(1000));
    for (const std::string& record : stored_) fresh.Restore(record);
    calls_.clear();
    // A start that was under way may have come to be.
    for (const std::string& name : spawning_) {
      if (Below(2)) processes_[name] = {++pid_, false, false, 0, Time(0)};
    }
    spawning_.clear();
    std::map<std::string, pid_t> running;
    for (auto& [name, process] : processes_) {
      if (process.pid != 0) running[name] = process.pid;
    }
    fresh.Restored(now_, true, running);
    EXPECT_EQ(fresh.generation(), fleet_.generation());
    fleet_ = std::move(fresh);
    fleet_.Handle(now_, Tick{}, &actions_);
  }

  void Take() {
    for (std::string& record : fleet_.TakeChanges()) stored_.push_back(std::move(record));
    if (stored_.size() > 300) stored_ = fleet_.Everything();
    for (const Action& action : actions_) {
      if (const auto* spawn = std::get_if<Spawn>(&action)) {
        ++spawns;
        EXPECT_EQ(processes_[spawn->instance].pid, 0) << "started twice: " << spawn->instance;
        EXPECT_TRUE(spawning_.insert(spawn->instance).second) << "started twice: " << spawn->instance;
        EXPECT_FALSE(spawn->definition.empty());
      } else if (const auto* call = std::get_if<Call>(&action)) {
        for (const auto& [name, drain] : calls_) EXPECT_NE(name, call->instance) << "two calls at once";
        calls_.emplace(call->instance, call->drain);
      } else if (const auto* signal = std::get_if<Signal>(&action)) {
        Process& process = processes_[signal->instance];
        EXPECT_NE(process.pid, 0) << "a signal to none";
        if (signal->number == SIGKILL) {
          ++kills;
          CheckKill(signal->instance);
          dead_.push_back(signal->instance);
        } else if (signal->number == SIGTERM) {
          process.dying = true;
          if (process.terminated == Time(0)) process.terminated = now_;
        } else {
          ++process.applied;
        }
      }
    }
    actions_.clear();
    const std::vector<std::string> dead = std::exchange(dead_, {});
    for (const std::string& name : dead) {
      if (processes_[name].pid != 0) End(name, "was killed by signal 9");
    }
    if (!dead.empty()) Take();
  }

  void CheckKill(const std::string& name) {
    for (const OrderState& order : fleet_.orders()) {
      for (const Part& part : order.parts) {
        if (part.instance != name || part.result != Result::kRunning) continue;
        ASSERT_TRUE(order.order.force_after.has_value());
        EXPECT_GE(now_ - part.began, *order.order.force_after);
        ASSERT_NE(processes_[name].terminated, Time(0)) << "killed without SIGTERM";
        EXPECT_GE(now_ - processes_[name].terminated, Time(3700));
        return;
      }
    }
    ADD_FAILURE() << "killed without an order";
  }

  void Check() {
    std::map<std::string, int> holders;
    std::uint64_t last = 0;
    const bool all = ++checks_ % 100 == 0;  // what has ended long ago is looked at only now and then
    for (const OrderState& order : fleet_.orders()) {
      if (order.ended && !all && ended_orders_.count(order.order.id)) continue;
      if (order.ended) ended_orders_.insert(order.order.id);
      EXPECT_GT(order.generation, last);
      last = order.generation;
      unsigned running = 0;
      bool all_final = true;
      for (const Part& part : order.parts) {
        running += part.result == Result::kRunning;
        all_final &= Final(part.result);
        if (part.result == Result::kRunning) {
          EXPECT_EQ(++holders[part.instance], 1) << "two orders at one instance";
          // By its deadline, and what ending the step takes.
          if (!spawning_.count(part.instance) && !HasCall(part.instance)) {
            const Time force = order.order.force_after ? kAnswerTime : Time(0);
            EXPECT_LE(now_ - part.began, order.order.deadline + force + Time(5200)) << part.instance;
          }
        }
        const auto key = order.order.id + "/" + part.instance;
        const auto ended = ended_.find(key);
        if (ended != ended_.end()) {
          EXPECT_EQ(ended->second, std::string(Name(part.result)) + part.text) << "a final result changed";
        } else if (Final(part.result)) {
          EXPECT_FALSE(part.text.empty());
          superseded += part.result == Result::kSuperseded;
          ended_[key] = std::string(Name(part.result)) + part.text;
        }
      }
      EXPECT_EQ(order.ended, all_final);
      EXPECT_TRUE(order.order.at_most == 0 || running <= order.order.at_most);
    }
    EXPECT_LE(fleet_.orders().size(), kMostOrders + kMostOrders / 2);
    for (const auto& [name, instance] : fleet_.instances()) {
      EXPECT_FALSE(instance.pid != 0 && instance.spawning);
      EXPECT_EQ(instance.pid != 0, processes_[name].pid != 0) << name;
    }
  }
  bool HasCall(const std::string& name) const {
    return std::any_of(calls_.begin(), calls_.end(), [&](const auto& call) { return call.first == name; });
  }

  std::mt19937_64 random_;
  Fleet fleet_;
  Time now_{1000000};
  pid_t pid_ = 0;
  int next_id_ = 0;
  std::vector<Action> actions_;
  std::map<std::string, Process> processes_;
  std::set<std::string> spawning_, hung_;
  std::set<std::pair<std::string, bool>> calls_;
  std::vector<std::string> dead_, stored_ = fleet_.Everything();
  std::map<std::string, Order> orders_;
  std::map<std::string, std::string> ended_;
  std::set<std::string> ended_orders_;
  int checks_ = 0;
};

class FleetRandom : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(FleetRandom, InvariantsHoldAtEachStep) {
  std::uint64_t accepted = 0, conflicts = 0, kills = 0, spawns = 0, restarts = 0, superseded = 0, steps = 0;
  for (std::uint64_t seed = GetParam(); seed < GetParam() + 10; ++seed) {
    World world(seed);
    for (int i = 0; i < 5000; ++i, ++steps) {
      world.Step();
      if (HasFailure()) FAIL() << "seed " << seed << ", step " << i;
    }
    world.Settle();
    if (HasFailure()) FAIL() << "seed " << seed << ", at the end";
    accepted += world.accepted, conflicts += world.conflicts, kills += world.kills;
    spawns += world.spawns, restarts += world.restarts, superseded += world.superseded;
  }
  // The schedules reach what they are for.
  EXPECT_EQ(steps, 50000u);
  EXPECT_GT(accepted, 1000u);
  EXPECT_GT(conflicts, 200u);
  EXPECT_GT(kills, 50u);
  EXPECT_GT(spawns, 500u);
  EXPECT_GT(restarts, 100u);
  EXPECT_GT(superseded, 100u);
}

// 300,000 steps in all.
INSTANTIATE_TEST_SUITE_P(Seeds, FleetRandom, ::testing::Values(1, 11, 21, 31, 41, 51));

}  // namespace
}  // namespace badgerbridge::agent
