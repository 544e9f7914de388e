// SPDX-License-Identifier: Apache-2.0
//
// Runs random schedules of orders, crashes, unresponsive instances and agent restarts on a FleetController,
// from fixed seeds, and checks the invariants of fleet_controller.h at each step.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent/fleet_controller.h"
#include "agent/order_codec.h"

namespace badgerbridge::agent {
namespace {

/// How often the schedules produced the events under test.
struct Counts {
  std::uint64_t accepted = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t kills = 0;
  std::uint64_t spawns = 0;
  std::uint64_t restarts = 0;  // of the agent
  std::uint64_t superseded = 0;

  Counts& operator+=(const Counts& other) {
    accepted += other.accepted;
    conflicts += other.conflicts;
    kills += other.kills;
    spawns += other.spawns;
    restarts += other.restarts;
    superseded += other.superseded;
    return *this;
  }
};

/// A controller and simulated processes that perform its actions with delays and failures.
class FleetSimulation {
 public:
  explicit FleetSimulation(std::uint64_t seed) : random_(seed), controller_(seed) {
    for (int i = 0; i < 6; ++i) controller_.AddInstance("n" + std::to_string(i), "old", false);
  }

  /// Advances the time, produces one random event, and checks the invariants.
  void Step() {
    now_ += Time(RandomBelow(120));
    actions_.clear();
    const std::uint64_t random_percent = RandomBelow(100);
    if (random_percent < 12) {
      SubmitRandomOrder();
    } else if (random_percent < 70) {
      CompleteRandomAction();
    } else if (random_percent < 76) {
      CrashRandomInstance();
    } else if (random_percent < 78) {
      if (RandomBelow(6) == 0) RestartAgent();
    } else if (random_percent < 80) {
      ToggleUnresponsive(RandomInstance());
    } else if (random_percent < 82) {
      now_ += Time(5000);
      Handle(Tick{});
    } else {
      Handle(Tick{});
    }
    PerformActions();
    CheckInvariants();
  }

  /// Checks that every order ends without new orders and unresponsive instances.
  void Settle() {
    unresponsive_.clear();
    for (int i = 0; i < 5000; ++i) {
      now_ += Time(100);
      actions_.clear();
      Handle(Tick{});
      PerformActions();
      actions_.clear();
      CompleteRandomAction();
      PerformActions();
      CheckInvariants();
      const auto& orders = controller_.orders();
      const bool all_ended =
          std::all_of(orders.begin(), orders.end(), [](const OrderState& order) { return order.ended; });
      if (all_ended) return;
    }
    ADD_FAILURE() << "an order has not ended";
  }

  const Counts& counts() const { return counts_; }

 private:
  struct Process {
    pid_t pid = 0;
    bool drained = false;
    bool terminating = false;
    std::uint64_t reloads = 0;
    Time sigterm_at{0};  // time of the first SIGTERM; 0: none
  };
  /// Calls in flight by instance; true for a drain, false for an undrain.
  using PendingCalls = std::map<std::string, bool>;

  std::uint64_t RandomBelow(std::uint64_t limit) { return random_() % limit; }
  std::string RandomInstance() { return "n" + std::to_string(RandomBelow(8)); }
  void Handle(const Event& event) { controller_.Handle(now_, event, &actions_); }

  void ToggleUnresponsive(const std::string& name) {
    if (unresponsive_.erase(name) == 0) unresponsive_.insert(name);
  }

  Order RandomOrder() {
    Order order;
    const bool repeats_id = RandomBelow(10) == 0 && next_order_ > 0;
    order.id = "o" + std::to_string(repeats_id ? next_order_ - 1 : next_order_++);
    order.verb = static_cast<Verb>(RandomBelow(7));
    std::set<std::string> names;
    for (std::uint64_t left = RandomBelow(4) + 1; left > 0; --left) names.insert(RandomInstance());
    order.instances.assign(names.begin(), names.end());
    order.author = "w" + std::to_string(RandomBelow(2));
    order.supersede = RandomBelow(3) == 0;
    order.deadline = Time(200 + RandomBelow(4000));
    if (RandomBelow(3) == 0) order.force_after = Time(RandomBelow(3000));
    order.max_parallel = static_cast<unsigned>(RandomBelow(3));
    if (RandomBelow(3) == 0)
      order.expected_generation =
          controller_.generation() - std::min<std::uint64_t>(controller_.generation(), RandomBelow(3));
    if (order.verb == Verb::kApply) {
      for (const std::string& name : names) order.definitions[name] = RandomBelow(4) == 0 ? "" : "new";
    }
    return order;
  }

  void SubmitRandomOrder() {
    const Order order = RandomOrder();
    const bool is_known = controller_.FindOrder(order.id) != nullptr;
    const std::uint64_t before = controller_.generation();
    const ValidationResult result = controller_.Submit(now_, 0, order, &actions_);
    if (result.accepted()) {
      ++counts_.accepted;
      EXPECT_FALSE(is_known) << "an order id was accepted twice";
      EXPECT_EQ(controller_.generation(), before + 1);
      return;
    }
    if (result.code == ValidationResult::Code::kConflict) ++counts_.conflicts;
    EXPECT_EQ(controller_.generation(), before);
    EXPECT_TRUE(actions_.empty());
    EXPECT_FALSE(result.message.empty());
  }

  /// Completes a start, a call or a poll, chosen at random.
  void CompleteRandomAction() {
    if (!starting_.empty() && RandomBelow(2)) return CompleteSpawn(*starting_.begin());
    if (!calls_.empty() && RandomBelow(2)) return CompleteCall(*calls_.begin());
    CompletePoll(RandomInstance());
  }

  void CompleteSpawn(std::string name) {
    starting_.erase(name);
    if (RandomBelow(5) == 0) return Handle(SpawnFailed{name, "cannot be started"});
    processes_[name] = {++last_pid_, false, false, 0, Time(0)};
    Handle(Spawned{name, last_pid_});
  }

  void CompleteCall(PendingCalls::value_type call) {
    const auto& [name, drain] = call;
    calls_.erase(name);
    Process& process = processes_[name];
    if (process.pid == 0 || unresponsive_.contains(name)) return Handle(CallFailed{name, "no answer"});
    process.drained = drain;
    Handle(CallSucceeded{name});
  }

  void CompletePoll(const std::string& name) {
    Process& process = processes_[name];
    if (process.pid == 0) return;
    if (unresponsive_.contains(name)) return Handle(Unresponsive{name, "no answer"});
    if (process.terminating) return EndProcess(name, "exited with 0");
    Observation observation;
    if (process.drained) {
      observation.state = RandomBelow(2) ? "drained" : "draining";
    } else {
      observation.state = RandomBelow(4) ? "ready" : "starting";
    }
    observation.reloads_applied = process.reloads;
    Handle(Observed{name, observation, now_});
  }

  void CrashRandomInstance() {
    const std::string name = RandomInstance();
    if (processes_[name].pid != 0) EndProcess(name, "was killed by signal 11");
  }

  void EndProcess(const std::string& name, const std::string& description) {
    processes_[name] = {};
    Handle(Exited{name, description});
  }

  /// Simulates a kill and restart of the agent: calls in flight are lost, stored records are restored,
  /// running processes are adopted.
  void RestartAgent() {
    ++counts_.restarts;
    FleetController restored(RandomBelow(1000));
    for (const std::string& record : stored_) EXPECT_TRUE(restored.RestoreRecord(record).has_value());
    calls_.clear();
    // A start in flight may have succeeded.
    for (const std::string& name : starting_) {
      if (RandomBelow(2)) processes_[name] = {++last_pid_, false, false, 0, Time(0)};
    }
    starting_.clear();
    std::map<std::string, pid_t> running;
    for (const auto& [name, process] : processes_) {
      if (process.pid != 0) running[name] = process.pid;
    }
    restored.FinishRestore(now_, true, running);
    EXPECT_EQ(restored.generation(), controller_.generation());
    controller_ = std::move(restored);
    Handle(Tick{});
  }

  /// Stores the changes and performs all actions, including those that follow from a SIGKILL.
  void PerformActions() {
    for (std::string& record : controller_.TakeChanges()) stored_.push_back(std::move(record));
    if (stored_.size() > 300) stored_ = controller_.AllRecords();
    for (const Action& action : actions_) {
      std::visit([this](const auto& one) { Perform(one); }, action);
    }
    actions_.clear();
    const std::vector<std::string> killed = std::exchange(killed_, {});
    for (const std::string& name : killed) {
      if (processes_[name].pid != 0) EndProcess(name, "was killed by signal 9");
    }
    if (!killed.empty()) PerformActions();
  }

  void Perform(const Spawn& spawn) {
    ++counts_.spawns;
    EXPECT_EQ(processes_[spawn.instance].pid, 0) << "started twice: " << spawn.instance;
    EXPECT_TRUE(starting_.insert(spawn.instance).second) << "started twice: " << spawn.instance;
    EXPECT_FALSE(spawn.definition.empty());
  }

  void Perform(const Call& call) {
    for (const auto& [name, drain] : calls_) EXPECT_NE(name, call.instance) << "two calls at once";
    calls_.emplace(call.instance, call.drain);
  }

  void Perform(const Signal& signal) {
    Process& process = processes_[signal.instance];
    EXPECT_NE(process.pid, 0) << "a signal without a process";
    if (signal.number == SIGKILL) {
      ++counts_.kills;
      CheckSigkill(signal.instance);
      killed_.push_back(signal.instance);
    } else if (signal.number == SIGTERM) {
      process.terminating = true;
      if (process.sigterm_at == Time(0)) process.sigterm_at = now_;
    } else {
      ++process.reloads;
    }
  }

  /// SIGKILL is sent only for an order with force_after, and after the grace period.
  void CheckSigkill(const std::string& name) {
    for (const OrderState& order : controller_.orders()) {
      for (const InstanceTask& task : order.tasks) {
        if (task.instance != name || task.state != TaskState::kRunning) continue;
        ASSERT_TRUE(order.order.force_after.has_value());
        EXPECT_GE(now_ - task.started_at, *order.order.force_after);
        ASSERT_NE(processes_[name].sigterm_at, Time(0)) << "killed without SIGTERM";
        EXPECT_GE(now_ - processes_[name].sigterm_at, Time(3700));
        return;
      }
    }
    ADD_FAILURE() << "killed without an order";
  }

  /// Checks the invariants of fleet_controller.h. Orders that ended in an earlier step are checked only at
  /// each 100th step.
  void CheckInvariants() {
    std::map<std::string, int> running_task_counts;
    std::uint64_t last_generation = 0;
    const bool checks_all = ++checks_ % 100 == 0;
    for (const OrderState& order : controller_.orders()) {
      if (order.ended && !checks_all && ended_orders_.contains(order.order.id)) continue;
      if (order.ended) ended_orders_.insert(order.order.id);
      EXPECT_GT(order.generation, last_generation);
      last_generation = order.generation;
      CheckOrder(order, running_task_counts);
    }
    EXPECT_LE(controller_.orders().size(), kMaxOrders + kMaxOrders / 2);
    for (const auto& [name, instance] : controller_.instances()) {
      EXPECT_FALSE(instance.pid != 0 && instance.start_in_flight);
      EXPECT_EQ(instance.pid != 0, processes_[name].pid != 0) << name;
    }
  }

  void CheckOrder(const OrderState& order, std::map<std::string, int>& running_task_counts) {
    unsigned running = 0;
    bool all_terminal = true;
    for (const InstanceTask& task : order.tasks) {
      all_terminal = all_terminal && IsTerminal(task.state);
      if (task.state == TaskState::kRunning) {
        ++running;
        EXPECT_EQ(++running_task_counts[task.instance], 1) << "two orders work on one instance";
        CheckDeadline(order.order, task);
      }
      CheckOutcome(order.order, task);
    }
    EXPECT_EQ(order.ended, all_terminal);
    EXPECT_TRUE(order.order.max_parallel == 0 || running <= order.order.max_parallel);
  }

  /// A task ends at its deadline plus the time to end its current step.
  void CheckDeadline(const Order& order, const InstanceTask& task) {
    if (starting_.contains(task.instance) || calls_.contains(task.instance)) return;
    const Time grace_period = order.force_after ? kTerminationGracePeriod : Time(0);
    EXPECT_LE(now_ - task.started_at, order.deadline + grace_period + Time(5200)) << task.instance;
  }

  /// The outcome of a task never changes.
  void CheckOutcome(const Order& order, const InstanceTask& task) {
    const std::string key = order.id + "/" + task.instance;
    const std::string outcome = std::string(TaskStateName(task.state)) + task.message;
    const auto known = outcomes_.find(key);
    if (known != outcomes_.end()) {
      EXPECT_EQ(known->second, outcome) << "the outcome of an ended task changed";
    } else if (IsTerminal(task.state)) {
      EXPECT_FALSE(task.message.empty());
      if (task.state == TaskState::kSuperseded) ++counts_.superseded;
      outcomes_[key] = outcome;
    }
  }

  std::mt19937_64 random_;
  FleetController controller_;
  Counts counts_;
  Time now_{1000000};
  pid_t last_pid_ = 0;
  int next_order_ = 0;
  std::vector<Action> actions_;               // not performed yet
  std::map<std::string, Process> processes_;  // by instance
  std::set<std::string> starting_;            // instances whose start is in flight
  std::set<std::string> unresponsive_;        // instances that do not respond
  PendingCalls calls_;
  std::vector<std::string> killed_;  // instances whose process received SIGKILL
  std::vector<std::string> stored_ = controller_.AllRecords();
  std::map<std::string, std::string> outcomes_;  // of ended tasks, by "order/instance"
  std::set<std::string> ended_orders_;           // ids
  int checks_ = 0;
};

class FleetControllerRandom : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(FleetControllerRandom, InvariantsHoldAtEachStep) {
  Counts counts;
  std::uint64_t steps = 0;
  for (std::uint64_t seed = GetParam(); seed < GetParam() + 10; ++seed) {
    FleetSimulation simulation(seed);
    for (int i = 0; i < 5000; ++i) {
      simulation.Step();
      ++steps;
      if (HasFailure()) FAIL() << "seed " << seed << ", step " << i;
    }
    simulation.Settle();
    if (HasFailure()) FAIL() << "seed " << seed << ", at the end";
    counts += simulation.counts();
  }
  // The schedules must produce the events under test.
  EXPECT_EQ(steps, 50000u);
  EXPECT_GT(counts.accepted, 1000u);
  EXPECT_GT(counts.conflicts, 200u);
  EXPECT_GT(counts.kills, 50u);
  EXPECT_GT(counts.spawns, 500u);
  EXPECT_GT(counts.restarts, 100u);
  EXPECT_GT(counts.superseded, 100u);
}

// 300,000 steps in all.
INSTANTIATE_TEST_SUITE_P(Seeds, FleetControllerRandom, ::testing::Values(1, 11, 21, 31, 41, 51));

}  // namespace
}  // namespace badgerbridge::agent
