// SPDX-License-Identifier: Apache-2.0
#include "agent/orders.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>

namespace badgerbridge::agent {
namespace {

using std::chrono::milliseconds;

template <typename Kind>
std::vector<Kind> Of(const std::vector<Action>& actions) {
  std::vector<Kind> found;
  for (const Action& action : actions) {
    if (const auto* one = std::get_if<Kind>(&action)) found.push_back(*one);
  }
  return found;
}

Order Make(const std::string& id, Verb verb, std::vector<std::string> instances) {
  Order order;
  order.id = id;
  order.verb = verb;
  order.instances = std::move(instances);
  order.who = "ana";
  return order;
}

// A fleet whose instances do at once what they are told, unless a test says otherwise.
class FleetTest : public ::testing::Test {
 protected:
  void Start(int count) {
    std::vector<std::string> names;
    for (int i = 1; i <= count; ++i) {
      names.push_back("n" + std::to_string(i));
      fleet.Add(names.back(), "definition " + names.back(), false);
    }
    Submit(Make("start", Verb::kStart, names));
    for (const std::string& name : names) {
      Do(Spawned{name, ++pid, ""});
      See(name, "ready");
    }
    ASSERT_TRUE(fleet.FindOrder("start")->ended);
  }
  Verdict Submit(const Order& order) {
    actions.clear();
    return fleet.Submit(now, 0, order, &actions);
  }
  const std::vector<Action>& Do(const Event& event) {
    actions.clear();
    fleet.Handle(now, event, &actions);
    return actions;
  }
  void See(const std::string& name, const std::string& state, std::uint64_t applied = 0,
           std::uint64_t refused = 0) {
    now += Time(1);
    Observation seen;
    seen.state = state;
    seen.reloads_applied = applied;
    seen.reloads_refused = refused;
    seen.reload_error = "seed is not a number";
    Do(Observed{name, seen, now});
  }
  void Wait(int ms) {
    now += Time(ms);
    Do(Tick{});
  }
  const Part& PartOf(const std::string& order, const std::string& instance) {
    for (const Part& part : fleet.FindOrder(order)->parts) {
      if (part.instance == instance) return part;
    }
    ADD_FAILURE() << instance;
    return fleet.FindOrder(order)->parts.front();
  }
  std::string State(const std::string& name) {
    return std::string(Fleet::StateOf(fleet.instances().at(name)));
  }

  Fleet fleet;
  Time now{1000};
  pid_t pid = 100;
  std::vector<Action> actions;
};

TEST_F(FleetTest, StartsWaitsForReadyAndSaysSo) {
  Start(2);
  EXPECT_EQ(PartOf("start", "n1").text, "ready");
  EXPECT_EQ(State("n2"), "ready");
  Submit(Make("again", Verb::kStart, {"n1"}));
  EXPECT_TRUE(Of<Spawn>(actions).empty());
  Do(CallEnded{"n1", ""});
  See("n1", "ready");
  EXPECT_EQ(PartOf("again", "n1").text, "ready; ran already");
}

TEST_F(FleetTest, ADrainIsToldOnceAndEndsWhenTheInstanceSaysSo) {
  Start(1);
  Submit(Make("d", Verb::kDrain, {"n1"}));
  ASSERT_EQ(Of<Call>(actions).size(), 1u);
  EXPECT_TRUE(Of<Call>(actions)[0].drain);
  Do(CallEnded{"n1", ""});
  See("n1", "draining");
  EXPECT_EQ(fleet.Doing(*fleet.FindOrder("d"), PartOf("d", "n1")),
            "draining (0 requests open, 0 connections)");
  EXPECT_TRUE(fleet.Eager("n1"));
  See("n1", "drained");
  EXPECT_EQ(PartOf("d", "n1").result, Result::kDone);
  EXPECT_FALSE(fleet.Eager("n1"));
  // A drained instance that dies comes back, and is drained again.
  Do(Exited{"n1", "was killed by signal 9"});
  Wait(250);
  ASSERT_EQ(Of<Spawn>(actions).size(), 1u);
  Do(Spawned{"n1", ++pid, ""});
  See("n1", "ready");
  ASSERT_EQ(Of<Call>(actions).size(), 1u);
  EXPECT_TRUE(Of<Call>(actions)[0].drain);
}

TEST_F(FleetTest, TheFirstOfTwoConflictingOrdersWinsAndTheSecondIsToldAllOfIt) {
  Start(3);
  Order drain = Make("d", Verb::kDrain, {"n1", "n2"});
  Submit(drain);
  now += Time(1000);
  Order stop = Make("s", Verb::kStop, {"n2", "n3"});
  stop.who = "bela";
  const Verdict verdict = Submit(stop);
  EXPECT_EQ(verdict.kind, Verdict::Kind::kConflict);
  EXPECT_EQ(verdict.order, "d");
  EXPECT_EQ(verdict.text,
            "n2 is held by drain (order d, generation 2) by ana, telling it to drain; wait for it "
            "(badgerbridge-ctl "
            "orders "
            "d), or take over with --supersede");
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(fleet.FindOrder("s"), nullptr);
  // One that does not meet it goes on beside it.
  EXPECT_EQ(Submit(Make("s3", Verb::kStop, {"n3"})).kind, Verdict::Kind::kAccepted);
}

TEST_F(FleetTest, AnOrderWrittenAgainstWhatHasChangedSinceIsTold) {
  Start(2);
  const std::uint64_t seen = fleet.generation();
  Submit(Make("d", Verb::kDrain, {"n1"}));
  Do(CallEnded{"n1", ""});
  See("n1", "drained");
  Order late = Make("u", Verb::kUndrain, {"n1"});
  late.against = seen;
  const Verdict verdict = Submit(late);
  EXPECT_EQ(verdict.kind, Verdict::Kind::kStale);
  EXPECT_NE(verdict.text.find("drain (order d) of ana"), std::string::npos) << verdict.text;
  late.instances = {"n2"};  // untouched since
  EXPECT_EQ(Submit(late).kind, Verdict::Kind::kAccepted);
  Order other = Make("x", Verb::kStop, {"n1"});
  other.against = 99;
  EXPECT_EQ(Submit(other).kind, Verdict::Kind::kStale);
}

TEST_F(FleetTest, TheSameOrderAgainIsOne) {
  Start(1);
  Submit(Make("d", Verb::kDrain, {"n1"}));
  EXPECT_EQ(Submit(Make("d", Verb::kDrain, {"n1"})).kind, Verdict::Kind::kKnown);
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(fleet.generation(), 2u);
}

TEST_F(FleetTest, SupersedingEndsTheOtherBetweenTwoStepsAndTakesOver) {
  Start(3);
  Order restart = Make("r", Verb::kRestart, {"n1", "n2", "n3"});
  restart.at_most = 2;
  Submit(restart);
  Do(CallEnded{"n1", ""});  // n1 drains; n2's call is out; n3 waits
  Order stop = Make("s", Verb::kStop, {"n1", "n2"});
  stop.who = "bela";
  stop.supersede = true;
  EXPECT_EQ(Submit(stop).kind, Verdict::Kind::kAccepted);
  EXPECT_EQ(PartOf("r", "n1").result, Result::kSuperseded);
  EXPECT_EQ(PartOf("r", "n1").text, "superseded by order s while draining (0 requests open, 0 connections)");
  EXPECT_EQ(PartOf("r", "n2").result, Result::kRunning) << "its call is out";
  EXPECT_EQ(PartOf("r", "n3").text, "not begun: superseded by order s");
  EXPECT_EQ(PartOf("s", "n1").result, Result::kRunning);
  EXPECT_EQ(PartOf("s", "n2").result, Result::kWaiting);
  Do(CallEnded{"n2", ""});
  EXPECT_EQ(PartOf("r", "n2").result, Result::kSuperseded);
  EXPECT_EQ(PartOf("s", "n2").result, Result::kRunning);
  EXPECT_TRUE(fleet.FindOrder("r")->ended);
  for (const char* name : {"n1", "n2"}) Do(Exited{name, "exited with 0"});
  EXPECT_TRUE(fleet.FindOrder("s")->ended);
  EXPECT_EQ(State("n1"), "stopped");
  EXPECT_EQ(State("n3"), "ready");
}

TEST_F(FleetTest, AnInstanceThatHangsIsAMatterOfItsOwnLine) {
  Start(2);
  Order drain = Make("d", Verb::kDrain, {"n1", "n2"});
  drain.deadline = Time(5000);
  Submit(drain);
  Do(CallEnded{"n2", ""});
  See("n2", "drained");
  EXPECT_EQ(PartOf("d", "n2").result, Result::kDone);
  for (int i = 0; i < 4; ++i) {
    now += Time(1000);
    Do(CallEnded{"n1", "no answer within 1 s"});
    Wait(250);
    ASSERT_EQ(Of<Call>(actions).size(), i < 3 ? 1u : 0u) << i;
    if (i < 3) {
      EXPECT_EQ(fleet.Doing(*fleet.FindOrder("d"), PartOf("d", "n1")),
                "telling it to drain (no answer within 1 s)");
    }
  }
  EXPECT_EQ(PartOf("d", "n1").result, Result::kFailed);
  EXPECT_EQ(PartOf("d", "n1").text.rfind("not in time: telling it to drain", 0), 0u)
      << PartOf("d", "n1").text;
}

TEST_F(FleetTest, KilledOnlyWhereTheOrderSaysSo) {
  Start(2);
  Order stop = Make("s", Verb::kStop, {"n1"});
  stop.deadline = Time(5000);
  Submit(stop);
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGTERM);
  Wait(4999);
  EXPECT_TRUE(actions.empty());
  Wait(1);
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(PartOf("s", "n1").text, "not in time: waiting for its end after SIGTERM for 5.0 s");

  stop = Make("s2", Verb::kStop, {"n2"});
  stop.force_after = Time(4000);
  Submit(stop);
  Wait(3999);
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(fleet.NextWake(now), now + Time(1));
  Wait(1);
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGKILL);
  Do(Exited{"n2", "was killed by signal 9"});
  EXPECT_EQ(PartOf("s2", "n2").text, "stopped; killed after 4.0 s, as force_after said");
}

TEST_F(FleetTest, NoneIsKilledBeforeWhatItHadTakenAtSigtermIsAnswered) {
  Start(1);
  Order stop = Make("s", Verb::kStop, {"n1"});
  stop.force_after = Time(500);
  Submit(stop);
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGTERM);
  Wait(500);
  EXPECT_TRUE(actions.empty());
  Wait(3199);
  EXPECT_TRUE(actions.empty());
  EXPECT_EQ(fleet.NextWake(now), now + Time(1));
  Wait(1);
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGKILL);
  Do(Exited{"n1", "was killed by signal 9"});
  EXPECT_EQ(PartOf("s", "n1").text, "stopped; killed after 3.7 s, as force_after said");
}

// It hangs: it does not take the order to drain. The roll goes on to SIGTERM, and only then may it be killed.
TEST_F(FleetTest, ForceCutsADrainShortAndNotTheTimeAfterSigterm) {
  Start(2);
  Order roll = Make("r", Verb::kRestart, {"n1", "n2"});
  roll.at_most = 1;
  roll.deadline = Time(2000);
  roll.force_after = Time(1000);
  Submit(roll);
  Do(CallEnded{"n1", "no answer"});
  Wait(999);
  EXPECT_TRUE(Of<Signal>(actions).empty());
  Wait(1);
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGTERM);
  Do(CallEnded{"n1", "no answer"});
  Wait(3699);
  EXPECT_TRUE(Of<Signal>(actions).empty());
  EXPECT_EQ(PartOf("r", "n1").result, Result::kRunning) << "the deadline waits for the end that it ordered";
  Wait(1);
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGKILL);
  Do(Exited{"n1", "was killed by signal 9"});
  ASSERT_EQ(Of<Spawn>(actions).size(), 1u);
  // No signal meant for the one that was killed reaches its successor.
  Do(Spawned{"n1", ++pid, ""});
  Wait(500);
  EXPECT_TRUE(Of<Signal>(actions).empty());
  See("n1", "ready");
  EXPECT_EQ(PartOf("r", "n1").text, "restarted, ready; killed after 4.7 s, as force_after said");
}

// A SIGTERM of an earlier order counts: the process has had its time.
TEST_F(FleetTest, TheTimeAfterSigtermIsThatOfTheProcess) {
  Start(1);
  Order stop = Make("s1", Verb::kStop, {"n1"});
  stop.deadline = Time(3000);
  Submit(stop);
  Wait(3000);
  ASSERT_EQ(PartOf("s1", "n1").result, Result::kFailed);
  stop = Make("s2", Verb::kStop, {"n1"});
  stop.force_after = Time(0);
  Submit(stop);
  Wait(699);
  EXPECT_TRUE(Of<Signal>(actions).empty());
  Wait(1);
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGKILL);
}

// A new agent can't know whether the SIGTERM of the old one went out.
TEST_F(FleetTest, AfterARestartOfTheAgentTheTimeBeginsWithAnotherSigterm) {
  Start(1);
  Order stop = Make("s", Verb::kStop, {"n1"});
  stop.force_after = Time(1000);
  Submit(stop);
  Fleet restored;
  for (const std::string& record : fleet.Everything()) restored.Restore(record);
  now += Time(20000);
  restored.Restored(now, true, {{"n1", 101}});
  fleet = std::move(restored);
  Do(Tick{});
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGTERM);
  Wait(3699);
  EXPECT_TRUE(actions.empty());
  Wait(1);
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGKILL);
}

TEST_F(FleetTest, ARollHaltsAtTheFirstThatFailsAndSaysWhatWasNotBegun) {
  Start(4);
  Order roll = Make("r", Verb::kRestart, {"n1", "n2", "n3", "n4"});
  roll.at_most = 1;
  roll.deadline = Time(3000);
  Submit(roll);
  Do(CallEnded{"n1", ""});
  See("n1", "drained");
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  Do(Exited{"n1", "exited with 0"});
  ASSERT_EQ(Of<Spawn>(actions).size(), 1u);
  Do(Spawned{"n1", ++pid, ""});
  EXPECT_EQ(PartOf("r", "n2").result, Result::kWaiting);
  See("n1", "ready");
  EXPECT_EQ(PartOf("r", "n1").text, "restarted, ready");
  Do(CallEnded{"n2", ""});
  Wait(3000);
  EXPECT_EQ(PartOf("r", "n2").result, Result::kFailed);
  EXPECT_NE(PartOf("r", "n2").text.find("taken back, it runs as before"), std::string::npos);
  ASSERT_EQ(Of<Call>(actions).size(), 1u);
  EXPECT_FALSE(Of<Call>(actions)[0].drain);
  EXPECT_EQ(PartOf("r", "n3").text, "not begun: the order halted when n2 failed");
  EXPECT_TRUE(fleet.FindOrder("r")->ended);
}

TEST_F(FleetTest, ACrashLoopIsGivenUpWithItsReason) {
  fleet.Add("n1", "definition", false);
  Submit(Make("start", Verb::kStart, {"n1"}));
  int starts = 0;
  std::vector<Time> waits;
  for (int i = 0; i < 20 && !fleet.FindOrder("start")->ended; ++i) {
    if (Of<Spawn>(actions).empty()) {
      waits.push_back(*fleet.NextWake(now) - now);
      now = *fleet.NextWake(now);
      Do(Tick{});
    }
    ASSERT_EQ(Of<Spawn>(actions).size(), 1u);
    ++starts;
    Do(Spawned{"n1", ++pid, ""});
    now += Time(5);
    Do(Exited{"n1", "exited with 1: ROUTER_CONFIG is not set"});
  }
  EXPECT_EQ(starts, 5);
  for (std::size_t i = 1; i < waits.size(); ++i) EXPECT_GE(waits[i], waits[i - 1]);
  EXPECT_EQ(State("n1"), "failed");
  EXPECT_NE(PartOf("start", "n1").text.find("given up after 5 deaths"), std::string::npos);
  EXPECT_NE(PartOf("start", "n1").text.find("ROUTER_CONFIG is not set"), std::string::npos);
  Wait(1000000);
  EXPECT_TRUE(Of<Spawn>(actions).empty());
  Submit(Make("again", Verb::kStart, {"n1"}));  // a person may try again
  EXPECT_EQ(Of<Spawn>(actions).size(), 1u);
}

TEST_F(FleetTest, OneThatExitsByItselfIsStartedAgainAndOneThatLivedLongIsNoCrashLoop) {
  Start(1);
  for (int i = 0; i < 12; ++i) {
    now += Time(20000);
    Do(Exited{"n1", "exited with 0"});
    EXPECT_EQ(State("n1"), "backoff");
    Wait(200);
    ASSERT_EQ(Of<Spawn>(actions).size(), 1u) << i;
    Do(Spawned{"n1", ++pid, ""});
    See("n1", "ready");
  }
  EXPECT_EQ(State("n1"), "ready");
}

TEST_F(FleetTest, ReloadsAreCountedByTheInstanceItself) {
  Start(2);
  Submit(Make("r", Verb::kReload, {"n1", "n2"}));
  EXPECT_TRUE(Of<Signal>(actions).empty());
  See("n1", "ready", 3, 1);
  ASSERT_EQ(Of<Signal>(actions).size(), 1u);
  EXPECT_EQ(Of<Signal>(actions)[0].number, SIGHUP);
  See("n1", "ready", 3, 1);
  EXPECT_EQ(PartOf("r", "n1").result, Result::kRunning);
  See("n1", "ready", 4, 1);
  EXPECT_EQ(PartOf("r", "n1").text, "reloaded");
  See("n2", "ready", 0, 0);
  See("n2", "ready", 0, 1);
  EXPECT_EQ(PartOf("r", "n2").text, "refused the configuration: seed is not a number");
}

TEST_F(FleetTest, ApplyAddsChangesAndRemoves) {
  Start(2);
  Order apply = Make("a", Verb::kApply, {"n1", "n2", "n3"});
  apply.definitions = {{"n1", "new"}, {"n2", ""}, {"n3", "third"}};
  Submit(apply);
  ASSERT_EQ(Of<Spawn>(actions).size(), 1u);
  EXPECT_EQ(Of<Spawn>(actions)[0].definition, "third");
  Do(Spawned{"n3", ++pid, ""});
  See("n3", "ready");
  for (const char* name : {"n1", "n2"}) {
    Do(CallEnded{name, ""});
    See(name, "drained");
    EXPECT_EQ(fleet.instances().at(name).definition, std::string("definition ") + name)
        << "not before it stopped";
    Do(Exited{name, "exited with 0"});
  }
  EXPECT_EQ(fleet.instances().count("n2"), 0u);
  EXPECT_EQ(PartOf("a", "n2").text, "removed");
  EXPECT_EQ(fleet.instances().at("n1").definition, "new");
  Do(Spawned{"n1", ++pid, ""});
  See("n1", "ready");
  EXPECT_TRUE(fleet.FindOrder("a")->ended);
  EXPECT_EQ(PartOf("a", "n1").text, "applied, ready");
}

TEST_F(FleetTest, WhatIsNoOrderIsSaidPlainly) {
  Start(1);
  using Kind = Verdict::Kind;
  EXPECT_EQ(Submit(Make("", Verb::kStop, {"n1"})).kind, Kind::kBad);
  EXPECT_EQ(Submit(Make("a b", Verb::kStop, {"n1"})).kind, Kind::kBad);
  EXPECT_EQ(Submit(Make("x", Verb::kStop, {})).kind, Kind::kBad);
  EXPECT_EQ(Submit(Make("x", Verb::kStop, {"n1", "n1"})).kind, Kind::kBad);
  EXPECT_EQ(Submit(Make("x", Verb::kStop, {"n9"})).kind, Kind::kUnknownInstance);
  Order force = Make("x", Verb::kDrain, {"n1"});
  force.force_after = Time(1);
  EXPECT_EQ(Submit(force).kind, Kind::kBad);
  force.verb = Verb::kStop;
  force.force_after = Time(60000);
  EXPECT_EQ(Submit(force).kind, Kind::kBad);
  Order endless = Make("x", Verb::kStop, {"n1"});
  endless.deadline = Time(0);
  EXPECT_EQ(Submit(endless).kind, Kind::kBad);
  EXPECT_EQ(fleet.generation(), 1u);
}

TEST_F(FleetTest, RestoredInTheMidstOfAnOrderItGoesOn) {
  Start(2);
  Submit(Make("d", Verb::kDrain, {"n1", "n2"}));
  Do(CallEnded{"n1", ""});
  Fleet restored;
  for (const std::string& record : fleet.Everything()) restored.Restore(record);
  restored.Restored(now, true, {{"n1", 101}, {"n2", 102}});
  EXPECT_EQ(restored.generation(), fleet.generation());
  EXPECT_EQ(restored.Everything(), fleet.Everything());
  actions.clear();
  restored.Handle(now, Tick{}, &actions);
  ASSERT_EQ(Of<Call>(actions).size(), 1u);
  EXPECT_EQ(Of<Call>(actions)[0].instance, "n2");
  EXPECT_TRUE(Of<Spawn>(actions).empty());
  Observation drained;
  drained.state = "drained";
  restored.Handle(now, Observed{"n1", drained, now + Time(1)}, &actions);
  EXPECT_EQ(restored.FindOrder("d")->parts[0].result, Result::kDone);
}

TEST_F(FleetTest, ARecordThatIsNoneThrows) {
  for (const char* bad : {"", "{", "[]", R"({"order":"x"})", R"({"instance":1})", R"({"generation":"x"})"})
    EXPECT_ANY_THROW(Fleet().Restore(bad)) << bad;
}

}  // namespace
}  // namespace badgerbridge::agent
