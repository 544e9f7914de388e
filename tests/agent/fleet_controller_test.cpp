// SPDX-License-Identifier: Apache-2.0
#include "agent/fleet_controller.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>

namespace badgerbridge::agent {
namespace {

using std::chrono::milliseconds;

/// The actions of one type, in order.
template <typename Kind>
std::vector<Kind> ActionsOf(const std::vector<Action>& actions) {
  std::vector<Kind> found;
  for (const Action& action : actions) {
    if (const auto* one = std::get_if<Kind>(&action)) found.push_back(*one);
  }
  return found;
}

/// An order with the author "ana" and defaults for all other members.
Order MakeOrder(const std::string& id, Verb verb, std::vector<std::string> instances) {
  Order order;
  order.id = id;
  order.verb = verb;
  order.instances = std::move(instances);
  order.author = "ana";
  return order;
}

/// A controller, the current time, and the actions of the latest event. Each test produces the events of the
/// instances.
class FleetControllerTest : public ::testing::Test {
 protected:
  /// Adds `count` instances n1, n2, ..., and starts them with an order "start" until they are ready.
  void Start(int count) {
    std::vector<std::string> names;
    for (int i = 1; i <= count; ++i) {
      names.push_back("n" + std::to_string(i));
      fleet.AddInstance(names.back(), "definition " + names.back(), false);
    }
    Submit(MakeOrder("start", Verb::kStart, names));
    for (const std::string& name : names) {
      Handle(Spawned{name, ++pid});
      Observe(name, "ready");
    }
    ASSERT_TRUE(fleet.FindOrder("start")->ended);
  }
  /// Submits the order at `now`; its actions are in `actions`.
  ValidationResult Submit(const Order& order) {
    actions.clear();
    return fleet.Submit(now, 0, order, &actions);
  }
  /// Handles the event at `now`, and returns its actions.
  const std::vector<Action>& Handle(const Event& event) {
    actions.clear();
    fleet.Handle(now, event, &actions);
    return actions;
  }
  /// Advances the time by 1 ms, and reports a state and reload counts of the instance.
  void Observe(const std::string& name, const std::string& state, std::uint64_t applied = 0,
               std::uint64_t rejected = 0) {
    now += Time(1);
    Observation observation;
    observation.state = state;
    observation.reloads_applied = applied;
    observation.reloads_rejected = rejected;
    observation.reload_error = "seed is not a number";
    Handle(Observed{name, observation, now});
  }
  /// Advances the time, then handles a Tick.
  void Wait(int ms) {
    now += Time(ms);
    Handle(Tick{});
  }
  /// The task of an instance under an order.
  const InstanceTask& TaskOf(const std::string& order, const std::string& instance) {
    for (const InstanceTask& task : fleet.FindOrder(order)->tasks) {
      if (task.instance == instance) return task;
    }
    ADD_FAILURE() << instance;
    return fleet.FindOrder(order)->tasks.front();
  }
  std::string StateName(const std::string& name) {
    return std::string(InstanceStateName(fleet.instances().at(name)));
  }

  FleetController fleet;
  Time now{1000};
  pid_t pid = 100;
  std::vector<Action> actions;
};

TEST_F(FleetControllerTest, StartSucceedsOnceTheInstanceIsReady) {
  Start(2);
  EXPECT_EQ(TaskOf("start", "n1").message, "ready");
  EXPECT_EQ(StateName("n2"), "ready");
  Submit(MakeOrder("again", Verb::kStart, {"n1"}));
  EXPECT_TRUE(ActionsOf<Spawn>(actions).empty());
  Handle(CallSucceeded{"n1"});
  Observe("n1", "ready");
  EXPECT_EQ(TaskOf("again", "n1").message, "ready; ran already");
}

TEST_F(FleetControllerTest, DrainIsCalledOnceAndSucceedsOnceDrained) {
  Start(1);
  Submit(MakeOrder("d", Verb::kDrain, {"n1"}));
  ASSERT_EQ(ActionsOf<Call>(actions).size(), 1u);
  EXPECT_TRUE(ActionsOf<Call>(actions)[0].drain);
  Handle(CallSucceeded{"n1"});
  Observe("n1", "draining");
  EXPECT_EQ(fleet.DescribeStep(*fleet.FindOrder("d"), TaskOf("d", "n1")),
            "draining (0 requests open, 0 connections)");
  EXPECT_TRUE(fleet.NeedsFrequentPolling("n1"));
  Observe("n1", "drained");
  EXPECT_EQ(TaskOf("d", "n1").state, TaskState::kSucceeded);
  EXPECT_FALSE(fleet.NeedsFrequentPolling("n1"));
  // A drained instance whose process ends is started and drained again.
  Handle(Exited{"n1", "was killed by signal 9"});
  Wait(250);
  ASSERT_EQ(ActionsOf<Spawn>(actions).size(), 1u);
  Handle(Spawned{"n1", ++pid});
  Observe("n1", "ready");
  ASSERT_EQ(ActionsOf<Call>(actions).size(), 1u);
  EXPECT_TRUE(ActionsOf<Call>(actions)[0].drain);
}

TEST_F(FleetControllerTest, ConflictingOrderIsRejectedWithTheHolder) {
  Start(3);
  Order drain = MakeOrder("d", Verb::kDrain, {"n1", "n2"});
  Submit(drain);
  now += Time(1000);
  Order stop = MakeOrder("s", Verb::kStop, {"n2", "n3"});
  stop.author = "bela";
  const ValidationResult result = Submit(stop);
  EXPECT_EQ(result.code, ValidationResult::Code::kConflict);
  EXPECT_EQ(result.conflicting_order, "d");
  EXPECT_EQ(result.message,
            "n2 is held by drain (order d, generation 2) by ana, telling it to drain; wait for it "
            "(badgerbridge-ctl "
            "orders "
            "d), or take over with --supersede");
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(fleet.FindOrder("s"), nullptr);
  // An order without common instances is accepted.
  EXPECT_EQ(Submit(MakeOrder("s3", Verb::kStop, {"n3"})).code, ValidationResult::Code::kAccepted);
}

TEST_F(FleetControllerTest, OrderAgainstAnOldGenerationIsStale) {
  Start(2);
  const std::uint64_t seen_generation = fleet.generation();
  Submit(MakeOrder("d", Verb::kDrain, {"n1"}));
  Handle(CallSucceeded{"n1"});
  Observe("n1", "drained");
  Order stale = MakeOrder("u", Verb::kUndrain, {"n1"});
  stale.expected_generation = seen_generation;
  const ValidationResult result = Submit(stale);
  EXPECT_EQ(result.code, ValidationResult::Code::kStale);
  EXPECT_NE(result.message.find("drain (order d) of ana"), std::string::npos) << result.message;
  stale.instances = {"n2"};  // not changed since
  EXPECT_EQ(Submit(stale).code, ValidationResult::Code::kAccepted);
  Order other = MakeOrder("x", Verb::kStop, {"n1"});
  other.expected_generation = 99;
  EXPECT_EQ(Submit(other).code, ValidationResult::Code::kStale);
}

TEST_F(FleetControllerTest, RepeatedOrderIsADuplicate) {
  Start(1);
  Submit(MakeOrder("d", Verb::kDrain, {"n1"}));
  EXPECT_EQ(Submit(MakeOrder("d", Verb::kDrain, {"n1"})).code, ValidationResult::Code::kDuplicate);
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(fleet.generation(), 2u);
}

TEST_F(FleetControllerTest, SupersedingOrderTakesOverBetweenSteps) {
  Start(3);
  Order restart = MakeOrder("r", Verb::kRestart, {"n1", "n2", "n3"});
  restart.max_parallel = 2;
  Submit(restart);
  Handle(CallSucceeded{"n1"});  // n1 is draining; the call to n2 is in flight; n3 is pending
  Order stop = MakeOrder("s", Verb::kStop, {"n1", "n2"});
  stop.author = "bela";
  stop.supersede = true;
  EXPECT_EQ(Submit(stop).code, ValidationResult::Code::kAccepted);
  EXPECT_EQ(TaskOf("r", "n1").state, TaskState::kSuperseded);
  EXPECT_EQ(TaskOf("r", "n1").message,
            "superseded by order s while draining (0 requests open, 0 connections)");
  EXPECT_EQ(TaskOf("r", "n2").state, TaskState::kRunning) << "its call is in flight";
  EXPECT_EQ(TaskOf("r", "n3").message, "not begun: superseded by order s");
  EXPECT_EQ(TaskOf("s", "n1").state, TaskState::kRunning);
  EXPECT_EQ(TaskOf("s", "n2").state, TaskState::kPending);
  Handle(CallSucceeded{"n2"});
  EXPECT_EQ(TaskOf("r", "n2").state, TaskState::kSuperseded);
  EXPECT_EQ(TaskOf("s", "n2").state, TaskState::kRunning);
  EXPECT_TRUE(fleet.FindOrder("r")->ended);
  for (const char* name : {"n1", "n2"}) Handle(Exited{name, "exited with 0"});
  EXPECT_TRUE(fleet.FindOrder("s")->ended);
  EXPECT_EQ(StateName("n1"), "stopped");
  EXPECT_EQ(StateName("n3"), "ready");
}

TEST_F(FleetControllerTest, HungInstanceFailsAloneAtTheDeadline) {
  Start(2);
  Order drain = MakeOrder("d", Verb::kDrain, {"n1", "n2"});
  drain.deadline = Time(5000);
  Submit(drain);
  Handle(CallSucceeded{"n2"});
  Observe("n2", "drained");
  EXPECT_EQ(TaskOf("d", "n2").state, TaskState::kSucceeded);
  for (int i = 0; i < 4; ++i) {
    now += Time(1000);
    Handle(CallFailed{"n1", "no answer within 1 s"});
    Wait(250);
    ASSERT_EQ(ActionsOf<Call>(actions).size(), i < 3 ? 1u : 0u) << i;
    if (i < 3) {
      EXPECT_EQ(fleet.DescribeStep(*fleet.FindOrder("d"), TaskOf("d", "n1")),
                "telling it to drain (no answer within 1 s)");
    }
  }
  EXPECT_EQ(TaskOf("d", "n1").state, TaskState::kFailed);
  EXPECT_EQ(TaskOf("d", "n1").message.rfind("not in time: telling it to drain", 0), 0u)
      << TaskOf("d", "n1").message;
}

TEST_F(FleetControllerTest, SigkillIsSentOnlyWithForceAfter) {
  Start(2);
  Order stop = MakeOrder("s", Verb::kStop, {"n1"});
  stop.deadline = Time(5000);
  Submit(stop);
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGTERM);
  Wait(4999);
  EXPECT_TRUE(actions.empty());
  Wait(1);
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(TaskOf("s", "n1").message, "not in time: waiting for its end after SIGTERM for 5.0 s");

  stop = MakeOrder("s2", Verb::kStop, {"n2"});
  stop.force_after = Time(4000);
  Submit(stop);
  Wait(3999);
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(fleet.NextWakeup(now), now + Time(1));
  Wait(1);
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGKILL);
  Handle(Exited{"n2", "was killed by signal 9"});
  EXPECT_EQ(TaskOf("s2", "n2").message, "stopped; killed after 4.0 s, as force_after said");
}

TEST_F(FleetControllerTest, SigkillWaitsForTheTerminationGracePeriod) {
  Start(1);
  Order stop = MakeOrder("s", Verb::kStop, {"n1"});
  stop.force_after = Time(500);
  Submit(stop);
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGTERM);
  Wait(500);
  EXPECT_TRUE(actions.empty());
  Wait(3199);
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(fleet.NextWakeup(now), now + Time(1));
  Wait(1);
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGKILL);
  Handle(Exited{"n1", "was killed by signal 9"});
  EXPECT_EQ(TaskOf("s", "n1").message, "stopped; killed after 3.7 s, as force_after said");
}

// A hung instance accepts no drain call. force_after skips the drain and sends SIGTERM; SIGKILL follows only
// after the grace period.
TEST_F(FleetControllerTest, ForceAfterCutsTheDrainButNotTheGracePeriod) {
  Start(2);
  Order roll = MakeOrder("r", Verb::kRestart, {"n1", "n2"});
  roll.max_parallel = 1;
  roll.deadline = Time(2000);
  roll.force_after = Time(1000);
  Submit(roll);
  Handle(CallFailed{"n1", "no answer"});
  Wait(999);
  EXPECT_TRUE(ActionsOf<Signal>(actions).empty());
  Wait(1);
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGTERM);
  Handle(CallFailed{"n1", "no answer"});
  Wait(3699);
  EXPECT_TRUE(ActionsOf<Signal>(actions).empty());
  EXPECT_EQ(TaskOf("r", "n1").state, TaskState::kRunning)
      << "the deadline is extended for the process to end";
  Wait(1);
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGKILL);
  Handle(Exited{"n1", "was killed by signal 9"});
  ASSERT_EQ(ActionsOf<Spawn>(actions).size(), 1u);
  // The new process must not receive a signal that was meant for the killed one.
  Handle(Spawned{"n1", ++pid});
  Wait(500);
  EXPECT_TRUE(ActionsOf<Signal>(actions).empty());
  Observe("n1", "ready");
  EXPECT_EQ(TaskOf("r", "n1").message, "restarted, ready; killed after 4.7 s, as force_after said");
}

// The grace period starts with the first SIGTERM of the process, even if an earlier order sent it.
TEST_F(FleetControllerTest, GracePeriodCountsFromTheFirstSigtermOfTheProcess) {
  Start(1);
  Order stop = MakeOrder("s1", Verb::kStop, {"n1"});
  stop.deadline = Time(3000);
  Submit(stop);
  Wait(3000);
  ASSERT_EQ(TaskOf("s1", "n1").state, TaskState::kFailed);
  stop = MakeOrder("s2", Verb::kStop, {"n1"});
  stop.force_after = Time(0);
  Submit(stop);
  Wait(699);
  EXPECT_TRUE(ActionsOf<Signal>(actions).empty());
  Wait(1);
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGKILL);
}

// A restarted agent cannot know whether the previous agent sent the SIGTERM.
TEST_F(FleetControllerTest, RestoredAgentSendsSigtermAgainBeforeSigkill) {
  Start(1);
  Order stop = MakeOrder("s", Verb::kStop, {"n1"});
  stop.force_after = Time(1000);
  Submit(stop);
  FleetController restored;
  for (const std::string& record : fleet.AllRecords()) restored.RestoreRecord(record);
  now += Time(20000);
  restored.FinishRestore(now, true, {{"n1", 101}});
  fleet = std::move(restored);
  Handle(Tick{});
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGTERM);
  Wait(3699);
  EXPECT_TRUE(actions.empty());
  Wait(1);
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGKILL);
}

TEST_F(FleetControllerTest, RollHaltsAtTheFirstFailureAndSkipsTheRest) {
  Start(4);
  Order roll = MakeOrder("r", Verb::kRestart, {"n1", "n2", "n3", "n4"});
  roll.max_parallel = 1;
  roll.deadline = Time(3000);
  Submit(roll);
  Handle(CallSucceeded{"n1"});
  Observe("n1", "drained");
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  Handle(Exited{"n1", "exited with 0"});
  ASSERT_EQ(ActionsOf<Spawn>(actions).size(), 1u);
  Handle(Spawned{"n1", ++pid});
  EXPECT_EQ(TaskOf("r", "n2").state, TaskState::kPending);
  Observe("n1", "ready");
  EXPECT_EQ(TaskOf("r", "n1").message, "restarted, ready");
  Handle(CallSucceeded{"n2"});
  Wait(3000);
  EXPECT_EQ(TaskOf("r", "n2").state, TaskState::kFailed);
  EXPECT_NE(TaskOf("r", "n2").message.find("taken back, it runs as before"), std::string::npos);
  ASSERT_EQ(ActionsOf<Call>(actions).size(), 1u);
  EXPECT_FALSE(ActionsOf<Call>(actions)[0].drain);
  EXPECT_EQ(TaskOf("r", "n3").message, "not begun: the order halted when n2 failed");
  EXPECT_TRUE(fleet.FindOrder("r")->ended);
}

TEST_F(FleetControllerTest, CrashLoopIsGivenUpWithItsReason) {
  fleet.AddInstance("n1", "definition", false);
  Submit(MakeOrder("start", Verb::kStart, {"n1"}));
  int starts = 0;
  std::vector<Time> waits;
  for (int i = 0; i < 20 && !fleet.FindOrder("start")->ended; ++i) {
    if (ActionsOf<Spawn>(actions).empty()) {
      waits.push_back(*fleet.NextWakeup(now) - now);
      now = *fleet.NextWakeup(now);
      Handle(Tick{});
    }
    ASSERT_EQ(ActionsOf<Spawn>(actions).size(), 1u);
    ++starts;
    Handle(Spawned{"n1", ++pid});
    now += Time(5);
    Handle(Exited{"n1", "exited with 1: ROUTER_CONFIG is not set"});
  }
  EXPECT_EQ(starts, 5);
  for (std::size_t i = 1; i < waits.size(); ++i) EXPECT_GE(waits[i], waits[i - 1]);
  EXPECT_EQ(StateName("n1"), "failed");
  EXPECT_NE(TaskOf("start", "n1").message.find("given up after 5 deaths"), std::string::npos);
  EXPECT_NE(TaskOf("start", "n1").message.find("ROUTER_CONFIG is not set"), std::string::npos);
  Wait(1000000);
  EXPECT_TRUE(ActionsOf<Spawn>(actions).empty());
  Submit(MakeOrder("again", Verb::kStart, {"n1"}));  // an operator may start the instance again
  EXPECT_EQ(ActionsOf<Spawn>(actions).size(), 1u);
}

TEST_F(FleetControllerTest, ExitAfterMinUptimeIsRestartedWithoutLimit) {
  Start(1);
  for (int i = 0; i < 12; ++i) {
    now += Time(20000);
    Handle(Exited{"n1", "exited with 0"});
    EXPECT_EQ(StateName("n1"), "backoff");
    Wait(200);
    ASSERT_EQ(ActionsOf<Spawn>(actions).size(), 1u) << i;
    Handle(Spawned{"n1", ++pid});
    Observe("n1", "ready");
  }
  EXPECT_EQ(StateName("n1"), "ready");
}

TEST_F(FleetControllerTest, ReloadEndsByTheCountsThatTheInstanceReports) {
  Start(2);
  Submit(MakeOrder("r", Verb::kReload, {"n1", "n2"}));
  EXPECT_TRUE(ActionsOf<Signal>(actions).empty());
  Observe("n1", "ready", 3, 1);
  ASSERT_EQ(ActionsOf<Signal>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Signal>(actions)[0].number, SIGHUP);
  Observe("n1", "ready", 3, 1);
  EXPECT_EQ(TaskOf("r", "n1").state, TaskState::kRunning);
  Observe("n1", "ready", 4, 1);
  EXPECT_EQ(TaskOf("r", "n1").message, "reloaded");
  Observe("n2", "ready", 0, 0);
  Observe("n2", "ready", 0, 1);
  EXPECT_EQ(TaskOf("r", "n2").message, "refused the configuration: seed is not a number");
}

TEST_F(FleetControllerTest, ApplyAddsChangesAndRemoves) {
  Start(2);
  Order apply = MakeOrder("a", Verb::kApply, {"n1", "n2", "n3"});
  apply.definitions = {{"n1", "new"}, {"n2", ""}, {"n3", "third"}};
  Submit(apply);
  ASSERT_EQ(ActionsOf<Spawn>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Spawn>(actions)[0].definition, "third");
  Handle(Spawned{"n3", ++pid});
  Observe("n3", "ready");
  for (const char* name : {"n1", "n2"}) {
    Handle(CallSucceeded{name});
    Observe(name, "drained");
    EXPECT_EQ(fleet.instances().at(name).definition, std::string("definition ") + name)
        << "the definition changes only after the process has ended";
    Handle(Exited{name, "exited with 0"});
  }
  EXPECT_EQ(fleet.instances().count("n2"), 0u);
  EXPECT_EQ(TaskOf("a", "n2").message, "removed");
  EXPECT_EQ(fleet.instances().at("n1").definition, "new");
  Handle(Spawned{"n1", ++pid});
  Observe("n1", "ready");
  EXPECT_TRUE(fleet.FindOrder("a")->ended);
  EXPECT_EQ(TaskOf("a", "n1").message, "applied, ready");
}

TEST_F(FleetControllerTest, MalformedOrderIsInvalid) {
  Start(1);
  using Code = ValidationResult::Code;
  EXPECT_EQ(Submit(MakeOrder("", Verb::kStop, {"n1"})).code, Code::kInvalid);
  EXPECT_EQ(Submit(MakeOrder("a b", Verb::kStop, {"n1"})).code, Code::kInvalid);
  EXPECT_EQ(Submit(MakeOrder("x", Verb::kStop, {})).code, Code::kInvalid);
  EXPECT_EQ(Submit(MakeOrder("x", Verb::kStop, {"n1", "n1"})).code, Code::kInvalid);
  EXPECT_EQ(Submit(MakeOrder("x", Verb::kStop, {"n9"})).code, Code::kUnknownInstance);
  Order force = MakeOrder("x", Verb::kDrain, {"n1"});
  force.force_after = Time(1);
  EXPECT_EQ(Submit(force).code, Code::kInvalid);
  force.verb = Verb::kStop;
  force.force_after = Time(60000);
  EXPECT_EQ(Submit(force).code, Code::kInvalid);
  Order without_deadline = MakeOrder("x", Verb::kStop, {"n1"});
  without_deadline.deadline = Time(0);
  EXPECT_EQ(Submit(without_deadline).code, Code::kInvalid);
  EXPECT_EQ(fleet.generation(), 1u);
}

TEST_F(FleetControllerTest, RestoredOpenOrderContinues) {
  Start(2);
  Submit(MakeOrder("d", Verb::kDrain, {"n1", "n2"}));
  Handle(CallSucceeded{"n1"});
  FleetController restored;
  for (const std::string& record : fleet.AllRecords()) restored.RestoreRecord(record);
  restored.FinishRestore(now, true, {{"n1", 101}, {"n2", 102}});
  EXPECT_EQ(restored.generation(), fleet.generation());
  EXPECT_EQ(restored.AllRecords(), fleet.AllRecords());
  actions.clear();
  restored.Handle(now, Tick{}, &actions);
  ASSERT_EQ(ActionsOf<Call>(actions).size(), 1u);
  EXPECT_EQ(ActionsOf<Call>(actions)[0].instance, "n2");
  EXPECT_TRUE(ActionsOf<Spawn>(actions).empty());
  Observation drained;
  drained.state = "drained";
  restored.Handle(now, Observed{"n1", drained, now + Time(1)}, &actions);
  EXPECT_EQ(restored.FindOrder("d")->tasks[0].state, TaskState::kSucceeded);
}

TEST_F(FleetControllerTest, MalformedRecordIsAnError) {
  for (const char* record : {"", "{", "[]", R"({"order":"x"})", R"({"instance":1})", R"({"generation":"x"})"})
    EXPECT_EQ(FleetController().RestoreRecord(record).error().kind, AgentErrorKind::kInvalidRecord) << record;
}

}  // namespace
}  // namespace badgerbridge::agent
