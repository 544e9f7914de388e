// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The agent's orders: random orders, process ends, hangs and restarts of the agent, and what the core does
/// with them.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "agent/fleet_controller.h"
#include "fingerprint/fingerprint.h"
#include "fingerprint/json_digest.h"
#include "fingerprint/random.h"

namespace badgerbridge::fingerprint {
namespace {

using agent::Order;
using agent::OrderState;
using agent::Time;

constexpr std::uint64_t kSeeds = 6;
constexpr int kSteps = 8000;
constexpr int kInstances = 6;
constexpr int kVerbs = 7;
constexpr int kVerdicts = 6;
constexpr int kResults = 6;
constexpr int kStates = 10;  ///< That InstanceStateName has a word for.

/// How often the runs met what they must meet, summed over the seeds.
struct Coverage {
  std::uint64_t spawns = 0, drains = 0, undrains = 0, terminations = 0, kills = 0, reloads = 0, restarts = 0;
  std::array<std::uint64_t, kVerdicts> verdicts{};
  std::array<std::uint64_t, kResults> results{};  // of tasks, at the regular looks
  std::set<std::string> states;
};

/// An agent with simulated processes, which obey late and not always.
class SimulatedAgent {
 public:
  SimulatedAgent(std::uint64_t seed, Coverage* coverage)
      : random_(seed),
        restart_policy_(DrawRestartPolicy()),
        fleet_(random_.Next(), restart_policy_),
        fingerprint_("orders", seed),
        coverage_(coverage) {
    for (int instance = 0; instance < kInstances; ++instance)
      fleet_.AddInstance("n" + std::to_string(instance), "old", random_.Chance(0.3));
    stored_ = fleet_.AllRecords();
  }

  void Execute() {
    for (int step = 1; step <= kSteps; ++step) {
      now_ += Time(random_.Integer(0, 120));
      TakeStep();
      CarryOut();
      if (step % 20 == 0) AddState();
      fingerprint_.EndStep();
      if (step % (kSteps / static_cast<int>(Fingerprint::kParts)) == 0) fingerprint_.EndPart();
    }
    fingerprint_.Check();
  }

 private:
  struct Process {
    pid_t pid = 0;
    bool drained = false;
    bool terminating = false;
    bool refuses_reload = false;
    std::uint64_t reloads_applied = 0, reloads_refused = 0;
  };

  agent::RestartPolicy DrawRestartPolicy() {
    agent::RestartPolicy policy;
    policy.initial_backoff = Time(random_.Integer(50, 400));
    policy.max_backoff = Time(random_.Integer(1000, 10000));
    policy.min_uptime = Time(random_.Integer(500, 10000));
    policy.max_consecutive_crashes = random_.Integer(2, 6);
    return policy;
  }
  /// Also names of instances that there may not be.
  std::string DrawName() { return "n" + std::to_string(random_.Integer(0, kInstances + 1)); }

  // ---- what happens to the agent ----

  void TakeStep() {
    const int draw = random_.Integer(0, 99);
    if (draw < 13) {
      SubmitOrder();
    } else if (draw < 72) {
      AnswerSomething();
    } else if (draw < 76) {
      EndProcess(DrawName(), "was killed by signal 11");
    } else if (draw < 77) {
      if (random_.Chance(0.3)) RestartAgent();
    } else if (draw < 79) {
      ToggleHang(DrawName());
    } else if (draw < 81) {
      now_ += Time(random_.Integer(1000, 8000));
      Handle(agent::Tick{});
    } else {
      Handle(agent::Tick{});
    }
  }

  void SubmitOrder() {
    const bool known_id = next_order_ > 0 && random_.Chance(0.1);
    if (!known_id) ++next_order_;
    Order order;
    order.id = "o" + std::to_string(next_order_);
    order.verb = random_.Chance(0.15) ? agent::Verb::kReload
                                      : static_cast<agent::Verb>(random_.Integer(0, kVerbs - 1));
    std::set<std::string> names;
    for (int count = random_.Integer(random_.Chance(0.05) ? 0 : 1, 4); count > 0; --count)
      names.insert(DrawName());
    order.instances.assign(names.begin(), names.end());
    order.author = "w" + std::to_string(random_.Integer(0, 1));
    order.supersede = random_.Chance(0.3);
    order.deadline = Time(random_.Integer(200, 6000));
    if (random_.Chance(0.3)) order.force_after = Time(random_.Integer(0, 4000));
    order.max_parallel = static_cast<unsigned>(random_.Integer(0, 2));
    const auto back = static_cast<std::uint64_t>(random_.Integer(0, 2));
    if (random_.Chance(0.2))
      order.expected_generation = fleet_.generation() - std::min(fleet_.generation(), back);
    if (order.verb == agent::Verb::kApply || random_.Chance(0.02)) {
      for (const std::string& name : names) order.definitions[name] = random_.Chance(0.2) ? "" : "new";
    }
    // At the bounds, and beyond them.
    if (random_.Chance(0.04))
      order.deadline = random_.Chance(0.5) ? Time(0) : Time(3600000 + random_.Integer(0, 1));
    if (random_.Chance(0.02)) order.id.insert(0, 64 - order.id.size() + random_.Index(2), 'x');
    const agent::ValidationResult verdict =
        fleet_.Submit(now_, 1700000000000 + now_.count(), order, &actions_);
    ++coverage_->verdicts[static_cast<std::size_t>(verdict.code)];
    fingerprint_.digest().Add(verdict.code, !verdict.message.empty(), verdict.conflicting_order);
  }

  void AnswerSomething() {
    if (!spawning_.empty() && random_.Chance(0.5)) return EndSpawn();
    if (!calls_.empty() && random_.Chance(0.5)) return EndCall();
    const std::string name = DrawName();
    Process& process = processes_[name];
    if (process.pid == 0) return;
    if (hung_.count(name)) return Handle(agent::Unresponsive{name, "no answer"});
    if (process.terminating && random_.Chance(0.7)) return EndProcess(name, "exited with 0");
    Observe(name, process);
  }

  void EndSpawn() {
    const std::string name = *spawning_.begin();
    spawning_.erase(spawning_.begin());
    if (random_.Chance(0.2)) return Handle(agent::SpawnFailed{name, "cannot be started"});
    processes_[name] = Process{.pid = ++last_pid_, .refuses_reload = random_.Chance(0.3)};
    Handle(agent::Spawned{name, last_pid_});
  }

  void EndCall() {
    const auto [name, drain] = *calls_.begin();
    calls_.erase(calls_.begin());
    Process& process = processes_[name];
    const bool answered = process.pid != 0 && !hung_.count(name);
    if (answered) process.drained = drain;
    if (answered) return Handle(agent::CallSucceeded{name});
    Handle(agent::CallFailed{name, "no answer"});
  }

  void Observe(const std::string& name, const Process& process) {
    agent::Observation seen;
    if (process.terminating) {
      seen.state = "stopping";
    } else if (process.drained) {
      seen.state = random_.Chance(0.5) ? "drained" : "draining";
    } else {
      seen.state = random_.Chance(0.8) ? "ready" : "starting";
    }
    seen.open_requests = static_cast<std::uint64_t>(random_.Integer(0, 3));
    seen.reloads_applied = process.reloads_applied;
    seen.reloads_rejected = process.reloads_refused;
    if (process.reloads_refused > 0) seen.reload_error = "bad file";
    Handle(agent::Observed{name, seen, now_ - Time(random_.Chance(0.2) ? 300 : 0)});
  }

  void EndProcess(const std::string& name, const std::string& how) {
    if (processes_[name].pid == 0) return;
    processes_[name] = {};
    Handle(agent::Exited{name, how});
  }

  void ToggleHang(const std::string& name) {
    if (hung_.erase(name) == 0) hung_.insert(name);
  }

  /// What was under way is lost, what is stored comes back, what runs is found again.
  void RestartAgent() {
    ++coverage_->restarts;
    const bool same_boot = random_.Chance(0.8);
    agent::FleetController fresh(random_.Next());
    for (const std::string& record : stored_) EXPECT_TRUE(fresh.RestoreRecord(record).has_value());
    calls_.clear();
    for (const std::string& name : spawning_) {  // a start that was under way may have come to be
      if (random_.Chance(0.5)) processes_[name] = Process{.pid = ++last_pid_};
    }
    spawning_.clear();
    if (!same_boot) processes_.clear();
    std::map<std::string, pid_t> running;
    for (const auto& [name, process] : processes_) {
      if (process.pid != 0) running[name] = process.pid;
    }
    fresh.FinishRestore(now_, same_boot, running);
    fleet_ = std::move(fresh);
    Handle(agent::Tick{});
  }

  void Handle(const agent::Event& event) { fleet_.Handle(now_, event, &actions_); }

  // ---- what the core answers ----

  void CarryOut() {
    for (std::string& record : fleet_.TakeChanges()) {
      AddJson(boost::json::parse(record), {"text", "last_end", "gave_up"}, &fingerprint_.digest());
      stored_.push_back(std::move(record));
    }
    if (stored_.size() > 300) stored_ = fleet_.AllRecords();
    const std::vector<agent::Action> actions = std::exchange(actions_, {});
    fingerprint_.digest().Add(actions.size());
    for (const agent::Action& action : actions) std::visit([this](const auto& act) { Perform(act); }, action);
    const std::vector<std::string> killed = std::exchange(killed_, {});
    for (const std::string& name : killed) EndProcess(name, "was killed by signal 9");
    if (!killed.empty()) CarryOut();
  }

  // The first number that each adds stands for the kind of action.
  void Perform(const agent::Spawn& action) {
    fingerprint_.digest().Add(1, action.instance, action.definition);
    ++coverage_->spawns;
    spawning_.insert(action.instance);
  }
  void Perform(const agent::Call& action) {
    fingerprint_.digest().Add(2, action.instance, action.drain, action.deadline);
    ++(action.drain ? coverage_->drains : coverage_->undrains);
    calls_.emplace(action.instance, action.drain);
  }
  void Perform(const agent::Signal& action) {
    fingerprint_.digest().Add(3, action.instance, action.number);
    Process& process = processes_[action.instance];
    if (action.number == SIGKILL) {
      ++coverage_->kills;
      killed_.push_back(action.instance);
    } else if (action.number == SIGTERM) {
      ++coverage_->terminations;
      process.terminating = true;
    } else {
      ++coverage_->reloads;
      ++(process.refuses_reload ? process.reloads_refused : process.reloads_applied);
    }
  }

  void AddState() {
    Digest& digest = fingerprint_.digest();
    digest.Add(fleet_.generation(), fleet_.instances().size(), fleet_.orders().size());
    for (const auto& [name, instance] : fleet_.instances()) {
      const std::string_view state = agent::InstanceStateName(instance);
      coverage_->states.insert(std::string(state));
      digest.Add(name, state, fleet_.NeedsFrequentPolling(name), instance.desired_running,
                 instance.desired_drained, instance.pid);
      digest.Add(instance.start_not_before, instance.call_not_before, instance.consecutive_crashes,
                 !instance.crash_loop_reason.empty());
    }
    for (const OrderState& order : fleet_.orders()) {
      if (order.ended) continue;
      digest.Add(order.order.id, order.generation, order.superseded_by, order.halted);
      for (const agent::InstanceTask& task : order.tasks) {
        ++coverage_->results[static_cast<std::size_t>(task.state)];
        digest.Add(task.instance, task.step_index, task.state, task.action_sent, task.killed);
        digest.Add(task.step_started_at, task.retry_at, !task.last_call_error.empty(),
                   !fleet_.DescribeStep(order, task).empty());
      }
    }
    const auto wake = fleet_.NextWakeup(now_);
    digest.Add(wake.has_value(), wake.value_or(Time(0)));
  }

  Random random_;
  agent::RestartPolicy restart_policy_;  // drawn before the seed of `fleet_`
  agent::FleetController fleet_;
  Fingerprint fingerprint_;
  Coverage* coverage_;
  Time now_{1000000};
  pid_t last_pid_ = 0;
  int next_order_ = 0;
  std::vector<agent::Action> actions_;  // of the step that is under way
  std::map<std::string, Process> processes_;
  std::set<std::string> spawning_, hung_;
  std::set<std::pair<std::string, bool>> calls_;  // instance, and whether it is to drain
  std::vector<std::string> killed_, stored_;
};

TEST(OrdersFingerprint, RandomOrders_SameActionsAsRecorded) {
  Coverage coverage;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) SimulatedAgent(seed, &coverage).Execute();
  EXPECT_GT(coverage.spawns, 100U);
  EXPECT_GT(coverage.drains, 100U);
  EXPECT_GT(coverage.undrains, 50U);
  EXPECT_GT(coverage.terminations, 100U);
  EXPECT_GT(coverage.kills, 10U);
  EXPECT_GT(coverage.reloads, 100U);
  EXPECT_GT(coverage.restarts, 10U);
  for (int verdict = 0; verdict < kVerdicts; ++verdict)
    EXPECT_GT(coverage.verdicts[static_cast<std::size_t>(verdict)], 5U) << verdict;
  for (int result = 0; result < kResults; ++result)
    EXPECT_GT(coverage.results[static_cast<std::size_t>(result)], 5U) << result;
  EXPECT_EQ(coverage.states.size(), kStates);
}

}  // namespace
}  // namespace badgerbridge::fingerprint
