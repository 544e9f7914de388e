// SPDX-License-Identifier: Apache-2.0
//
// Each violation of a rule is found, and what only looks like one is not.
#include "multiprocess/verdict.h"

#include <gtest/gtest.h>

namespace badgerbridge::multiprocess {
namespace {

// A history that passes: classes 0 idempotent, 1 with an idempotency key, 2 not idempotent; one request of
// each, served. Tests change it and judge it again.
struct TestRun {
  VerdictRules rules;
  History history;

  TestRun() {
    rules.classes = {{Idempotency::kIdempotent, 1, 500, 0.5},
                     {Idempotency::kIdempotencyKey, 3, 500, 0.5},
                     {Idempotency::kNotIdempotent, 5, 500, 0.5}};
    rules.drain_grace_ms = 500;
    rules.max_transit_ms = 100;
    AddRequest("r1", 0);
    AddRequest("r2", 1);
    AddRequest("r3", 2);
    AddEffect("r1", "", "c1");
    AddEffect("r2", "k2", "c1");
    AddEffect("r3", "", "c2");
    history.requests_started = 3;
  }

  // A request that is sent at 1000 and served 20 ms later.
  void AddRequest(const std::string& id, std::size_t request_class) {
    RequestRecord request;
    request.id = id;
    request.request_class = request_class;
    request.proxy = "n1";
    request.started_at_ms = request.sent_at_ms = 1000;
    request.ended_at_ms = 1020;
    history.requests.push_back(request);
  }

  // Makes r3 the request of a direct client, sent at 1000 with 400 ms to go.
  RequestRecord& MakeDirect(RequestOutcome outcome, double ended_at_ms) {
    RequestRecord& request = history.requests[2];
    request.is_direct = true;
    request.deadline_ms = 1400;
    request.outcome = outcome;
    request.ended_at_ms = ended_at_ms;
    return request;
  }

  // The proxy is stopped from one moment to the other.
  void AddStop(double from_ms, double until_ms) {
    history.disruptions.push_back({"n1", from_ms, until_ms, DisruptionKind::kStopped});
  }

  // r1 was sent at 1000 on a connection that was idle since 900; its close was seen at 1001, r1 being unread.
  CloseRaceRecord& AddCloseRace() {
    history.close_races.push_back({"r1", "n1", 1000, 1001, 900, true});
    return history.close_races.back();
  }

  // A request takes effect at a backend.
  void AddEffect(const std::string& id, const std::string& key, const std::string& backend,
                 double received_at_ms = 1005, const std::string& scope = "z0/0") {
    AttemptRecord attempt;
    attempt.id = id;
    attempt.idempotency_key = key;
    attempt.backend = backend;
    attempt.deduplication_scope = scope;
    attempt.received_at_ms = received_at_ms;
    attempt.took_effect = true;
    history.attempts.push_back(attempt);
  }

  Verdict Check() const { return Judge(rules, history); }
};

TEST(VerdictTest, AHistoryWithoutViolationsPasses) {
  TestRun run;
  run.AddEffect("r1", "", "c2");  // an idempotent one may run twice
  const Verdict verdict = run.Check();
  EXPECT_TRUE(verdict.Passed()) << (verdict.violations.empty() ? "" : verdict.violations[0]);
  EXPECT_EQ(verdict.served, 3u);
  EXPECT_EQ(verdict.earned_weight, 9);
}

TEST(VerdictTest, ALostRequestIsFoundUnlessItsProxyWasKilled) {
  TestRun run;
  run.history.requests[1].outcome = RequestOutcome::kLost;
  EXPECT_EQ(run.Check().lost, 1u);
  run.history.disruptions.push_back({"n2", 900, 2000});
  EXPECT_EQ(run.Check().lost, 1u);
  run.history.disruptions.push_back({"n1", 1010, 2000});
  EXPECT_EQ(run.Check().lost, 0u);
  EXPECT_EQ(run.Check().excused, 1u);
}

// A stop delays answers. It loses none.
TEST(VerdictTest, AStopExcusesALateAnswerButNoClosedConnection) {
  TestRun run;
  RequestRecord& request = run.history.requests[1];
  request.outcome = RequestOutcome::kLost;
  run.AddStop(1010, 2000);
  EXPECT_EQ(run.Check().excused, 1u);
  request.closed_by_peer = true;
  EXPECT_EQ(run.Check().lost, 1u);
  EXPECT_FALSE(run.Check().Passed());
}

TEST(VerdictTest, AShutdownExcusesOnlyRequestsSentAfterwards) {
  TestRun run;
  RequestRecord& request = run.history.requests[1];
  request.outcome = RequestOutcome::kLost;
  request.closed_by_peer = true;
  run.history.disruptions.push_back({"n1", 1010, 2000, DisruptionKind::kNotListening});
  EXPECT_EQ(run.Check().excused, 1u) << "the link proxy had accepted it, a moment before";
  run.history.disruptions[0].from_ms = 1100;
  request.ended_at_ms = 1200;
  EXPECT_EQ(run.Check().lost, 1u) << "it was sent while the proxy listened";
  run.history.lags = {{1005, 1055, "clients-0"}, {1005, 1054, kLinkProxyProcess}};
  EXPECT_EQ(run.Check().lost, 1u) << "the link proxy had time to connect";
  run.history.lags[1].until_ms = 1055;
  EXPECT_EQ(run.Check().excused, 1u) << "the link proxy was not run in time to connect";
  run.history.disruptions[0].from_ms = 990;
  EXPECT_EQ(run.Check().lost, 0u);
  request.is_direct = true;
  EXPECT_EQ(run.Check().lost, 1u) << "the proxy's machine accepted it";
}

// A client and a link proxy that were not run held up the response themselves.
TEST(VerdictTest, AClientWhoseOwnProcessesWereNotRunHasNotWaitedInFull) {
  TestRun run;
  RequestRecord& request = run.history.requests[1];
  request.outcome = RequestOutcome::kLost;
  request.client_process = "clients-0";
  request.deadline_ms = 2500;
  request.ended_at_ms = 2600;
  EXPECT_EQ(run.Check().lost, 1u);
  run.history.lags = {{1000, 1050, kLinkProxyProcess}, {2550, 2599, "clients-0"}};
  EXPECT_EQ(run.Check().lost, 1u) << "it waited for a ms more than its time";
  run.history.lags.push_back({2500, 2600, "clients-1"});
  run.history.lags.push_back({2500, 2600, "z0"});
  EXPECT_EQ(run.Check().lost, 1u) << "those are not between it and its proxy";
  run.history.lags.push_back({2549, 2551, kLinkProxyProcess});
  EXPECT_EQ(run.Check().lost, 0u);
  EXPECT_EQ(run.Check().unjudged, 1u);
  EXPECT_TRUE(run.Check().Passed());
  request.closed_by_peer = true;
  EXPECT_EQ(run.Check().lost, 1u) << "no delay ends a connection without a response";
  request.closed_by_peer = false;
  run.history.requests.push_back(request);
  EXPECT_EQ(run.Check().lost, 2u) << "so many of so few tell too little";
  run.history.requests.pop_back();
  run.history.requests[1].is_direct = true;
  EXPECT_EQ(run.Check().lost, 1u) << "it is not connected through the link proxy";
}

// Direct clients wait half a second beyond their deadline, and a stop is shorter.
TEST(VerdictTest, AStopExcusesNothingForDirectClients) {
  TestRun run;
  run.MakeDirect(RequestOutcome::kServed, 1900);
  run.AddStop(1390, 1790);
  EXPECT_EQ(run.Check().late, 1u);
  EXPECT_TRUE(run.Check().Passed());
  run.MakeDirect(RequestOutcome::kLost, 1901);
  EXPECT_EQ(run.Check().lost, 1u);
  run.MakeDirect(RequestOutcome::kLost, 1100).closed_by_peer = true;
  EXPECT_EQ(run.Check().lost, 1u);
  run.AddStop(1050, 1501);  // longer than any that is planned
  EXPECT_EQ(run.Check().lost, 1u);
  run.history.requests[2].closed_by_peer = false;
  EXPECT_EQ(run.Check().excused, 1u);
}

// A proxy without a processor can't answer in time; it has no reason to close a connection.
TEST(VerdictTest, AStarvedProxyIsExcusedOnlyForLateAnswers) {
  TestRun run;
  run.history.disruptions.push_back({"n1", 1200, 1500, DisruptionKind::kStarved});
  run.MakeDirect(RequestOutcome::kLost, 1901);
  EXPECT_EQ(run.Check().excused, 1u);
  run.history.requests[2].closed_by_peer = true;
  EXPECT_EQ(run.Check().lost, 1u);
  run.MakeDirect(RequestOutcome::kLost, 1199).closed_by_peer = false;
  EXPECT_EQ(run.Check().lost, 1u) << "the disruption begins later";
}

TEST(VerdictTest, AnAttemptAfterItsClientDisconnectedIsFound) {
  TestRun run;
  run.history.attempts.pop_back();
  run.MakeDirect(RequestOutcome::kCancelled, 1050).closed_at_ms = 1050;
  run.AddEffect("r3", "", "c2", 1150);
  EXPECT_EQ(run.Check().cancelled, 1u);
  EXPECT_TRUE(run.Check().Passed());
  run.history.attempts.back().received_at_ms = 1151;
  EXPECT_EQ(run.Check().sends_after_disconnect, 1u);
  EXPECT_FALSE(run.Check().Passed());
  run.AddStop(1040, 1150);
  EXPECT_EQ(run.Check().sends_after_disconnect, 1u) << "a stop is no excuse";
  run.history.lags.push_back({1060, 1062});
  EXPECT_EQ(run.Check().sends_after_disconnect, 0u) << "the backends were not run meanwhile";
  run.history.lags.clear();
  run.rules.has_prompt_links = false;
  EXPECT_EQ(run.Check().sends_after_disconnect, 0u) << "links of this plan hold up what was sent before";
}

TEST(VerdictTest, ADeadlineBeyondWhatTheClientHasLeftIsFound) {
  TestRun run;
  run.MakeDirect(RequestOutcome::kServed, 1300);
  run.history.attempts[2].received_at_ms = 1200;
  run.history.attempts[2].time_left_ms = 350;
  EXPECT_EQ(run.Check().excess_deadlines, 0u);
  run.history.attempts[2].time_left_ms = 351;
  EXPECT_EQ(run.Check().excess_deadlines, 1u);
  EXPECT_FALSE(run.Check().Passed());
  run.AddStop(1000, 1190);
  EXPECT_EQ(run.Check().excess_deadlines, 1u) << "a proxy that was stopped knows for how long";
  run.history.lags = {{1100, 1101}, {1100.5, 1101}};
  EXPECT_EQ(run.Check().excess_deadlines, 0u) << "the link proxy was not run meanwhile";
  run.history.attempts[2].time_left_ms = 352;
  EXPECT_EQ(run.Check().excess_deadlines, 1u) << "simultaneous lags of two processes count once";
}

// A client writes a request again where the close of its connection crossed it. What became of the first
// writing is held to the time of that.
TEST(VerdictTest, ADeadlineOfAFirstConnectionIsHeldToWhenItWasWrittenThere) {
  TestRun run;
  RequestRecord& request = run.MakeDirect(RequestOutcome::kServed, 1390);
  request.first_sent_at_ms = 1000;
  request.sent_at_ms = 1250;  // with 150 to go
  AttemptRecord& attempt = run.history.attempts[2];
  attempt.time_left_ms = 390;
  for (const double received_at_ms : {1240, 1260}) {
    attempt.received_at_ms = received_at_ms;
    run.history.lags.clear();
    EXPECT_EQ(run.Check().excess_deadlines, 1u) << "nothing held it up";
    run.history.lags = {{1005, 1105, kLinkProxyProcess}};
    EXPECT_EQ(run.Check().excess_deadlines, 0u) << "the link proxy was not run meanwhile";
  }
  attempt.received_at_ms = 1401;
  attempt.time_left_ms = 150;  // of the second
  EXPECT_EQ(run.Check().excess_deadlines, 1u) << "the link proxy ran since the second was written";
}

TEST(VerdictTest, ALineOnAViolationTellsWhichProcessesWereNotRun) {
  TestRun run;
  run.MakeDirect(RequestOutcome::kServed, 1390);
  run.history.attempts[2].received_at_ms = 1240;
  run.history.attempts[2].time_left_ms = 390;
  run.history.lags = {
      {1230, 1250, kLinkProxyProcess}, {900, 1010, "z1"}, {1005, 1015, "z1"}, {1241, 1300, "z2"}};
  const Verdict verdict = run.Check();
  ASSERT_EQ(verdict.violations.size(), 1u);
  const std::string expected_end = "; z1 was not run for 15.0 ms of it; wire was not run for 10.0 ms of it";
  const std::string& line = verdict.violations[0];
  ASSERT_GT(line.size(), expected_end.size());
  EXPECT_EQ(line.substr(line.size() - expected_end.size()), expected_end);
}

// The deadline was right when the stop began, and was sent when it ended: no proxy can rule that out. Only an
// attempt that fits the stop is excused.
TEST(VerdictTest, AProxyMayBeStoppedWhileSendingADeadline) {
  TestRun run;
  run.MakeDirect(RequestOutcome::kServed, 1390);
  run.AddStop(1010, 1300);
  AttemptRecord& attempt = run.history.attempts[2];
  attempt.received_at_ms = 1301;
  attempt.time_left_ms = 386;  // of 390 at 1010
  EXPECT_EQ(run.Check().excess_deadlines, 1u) << "the proxy was waiting when it was stopped";
  run.history.disruptions[0].interrupted_work = true;
  EXPECT_EQ(run.Check().stop_races, 1u);
  EXPECT_TRUE(run.Check().Passed());
  attempt.time_left_ms = 451;  // long before the stop
  EXPECT_EQ(run.Check().excess_deadlines, 1u);
  attempt.time_left_ms = 365;  // during the stop
  EXPECT_EQ(run.Check().excess_deadlines, 1u);
  attempt.time_left_ms = 386;
  attempt.received_at_ms = 1321;  // it had time to look again
  EXPECT_EQ(run.Check().excess_deadlines, 1u);
  attempt.received_at_ms = 1301;
  run.history.requests[2].sent_at_ms = 1016;  // it came during the stop
  EXPECT_EQ(run.Check().excess_deadlines, 1u);
}

TEST(VerdictTest, AProxyMayBeStoppedWhileSendingForAClientThatDisconnects) {
  TestRun run;
  run.MakeDirect(RequestOutcome::kCancelled, 1050).closed_at_ms = 1050;
  run.AddStop(1010, 1300);
  run.history.attempts[2].received_at_ms = 1301;
  EXPECT_EQ(run.Check().sends_after_disconnect, 1u) << "the proxy was waiting when it was stopped";
  run.history.disruptions[0].interrupted_work = true;
  EXPECT_EQ(run.Check().stop_races, 1u);
  EXPECT_TRUE(run.Check().Passed());
  run.history.attempts[2].received_at_ms = 1321;  // it had time to look again
  EXPECT_EQ(run.Check().sends_after_disconnect, 1u);
  run.history.attempts[2].received_at_ms = 1301;
  run.history.requests[2].sent_at_ms = 1016;  // it came during the stop
  EXPECT_EQ(run.Check().sends_after_disconnect, 1u);
  run.history.requests[2].sent_at_ms = 900;
  run.history.requests[2].closed_at_ms = 980;  // long before it
  EXPECT_EQ(run.Check().sends_after_disconnect, 1u);
}

TEST(VerdictTest, TooManyStopRacesAreFound) {
  TestRun run;
  run.MakeDirect(RequestOutcome::kCancelled, 1050).closed_at_ms = 1050;
  run.AddStop(1010, 1300);
  run.history.disruptions[0].interrupted_work = true;
  run.history.attempts[2].received_at_ms = 1301;
  run.history.attempts.push_back(run.history.attempts[2]);
  run.history.attempts[3].took_effect = false;
  EXPECT_EQ(run.Check().excess_stop_races, 2u);
  EXPECT_FALSE(run.Check().Passed());
  for (int i = 0; i < 39; ++i) run.AddStop(3000 + i, 3000 + i + 0.5);
  EXPECT_TRUE(run.Check().Passed()) << "two of forty";
}

TEST(VerdictTest, AnUnreadRequestMayCrossTheCloseOfAnIdleConnection) {
  TestRun run;
  run.AddCloseRace();
  EXPECT_EQ(run.Check().close_races, 1u);
  EXPECT_TRUE(run.Check().Passed());
}

TEST(VerdictTest, ACloseRaceOfARequestThatWasReadIsALoss) {
  TestRun run;
  run.AddCloseRace().is_unread = false;
  EXPECT_EQ(run.Check().lost, 1u);
  EXPECT_FALSE(run.Check().Passed());
}

TEST(VerdictTest, ACloseOfANewConnectionIsALoss) {
  TestRun run;
  run.AddCloseRace().previous_response_at_ms = std::nullopt;
  EXPECT_EQ(run.Check().lost, 1u);
}

// A proxy that is stopped between its look and the close is excused for the length of the stop.
TEST(VerdictTest, ACloseLongAfterTheRequestIsALossUnlessTheProxyWasStopped) {
  TestRun run;
  run.AddCloseRace().close_seen_at_ms = 1110;
  EXPECT_EQ(run.Check().lost, 1u);
  run.AddStop(990, 1050);
  EXPECT_EQ(run.Check().lost, 0u);
  run.history.close_races[0].close_seen_at_ms = 1160;
  EXPECT_EQ(run.Check().lost, 1u);
}

TEST(VerdictTest, APipelinedRequestIsNotOnAnIdleConnection) {
  TestRun run;
  CloseRaceRecord& race = run.AddCloseRace();
  race.previous_response_at_ms = 1020;
  race.close_seen_at_ms = 1021;
  EXPECT_EQ(run.Check().lost, 0u) << "it crossed the answer that announced the close";
  race.previous_response_at_ms = 1040;
  race.close_seen_at_ms = 1041;
  EXPECT_EQ(run.Check().lost, 1u);
}

TEST(VerdictTest, RepeatedEffectsAreFoundByIdAndByKey) {
  TestRun run;
  run.AddEffect("r3", "", "c1");
  EXPECT_EQ(run.Check().repeated_effects, 1u);
  TestRun other;
  other.AddEffect("r2", "k2", "c9", 1010, "z1/0");
  EXPECT_EQ(other.Check().repeated_effects, 1u);
}

// Guards against a trial that fails for its own client: it wrote a request again, under the same id, after
// the proxy that had it was killed, and the proxy's next process can't know of the first.
TEST(VerdictTest, ARepeatThatTheClientWroteAgainAfterAKillIsNoFault) {
  constexpr double kWrittenMs = 1000, kFirstEffectMs = 1005, kKilledMs = 1010, kWrittenAgainMs = 1100;
  TestRun run;
  run.history.requests[2].first_sent_at_ms = kWrittenMs;
  run.history.requests[2].sent_at_ms = kWrittenAgainMs;
  run.AddEffect("r3", "", "c1", kWrittenAgainMs + 5);
  EXPECT_EQ(run.Check().repeated_effects, 1u) << "no proxy was killed";
  run.history.disruptions = {{"n1", kKilledMs, 2000, DisruptionKind::kNotListening}};
  EXPECT_EQ(run.Check().repeated_effects, 1u) << "a planned restart answers what it has";
  run.history.disruptions = {{"n2", kKilledMs, 2000}};
  EXPECT_EQ(run.Check().repeated_effects, 1u) << "another proxy";
  run.history.disruptions = {{"n1", kWrittenAgainMs + 1, 2000}};
  EXPECT_EQ(run.Check().repeated_effects, 1u) << "killed after the second writing";
  run.history.disruptions = {{"n1", kKilledMs, 2000}};
  EXPECT_EQ(run.Check().repeated_effects, 0u);
  EXPECT_EQ(run.Check().repeats_after_kill, 1u);
  TestRun before = run;
  before.AddEffect("r3", "", "c3", kFirstEffectMs + 1);
  EXPECT_EQ(before.Check().repeated_effects, 1u) << "two effects of the first writing";
  TestRun after = run;
  after.AddEffect("r3", "", "c3", kWrittenAgainMs + 50);
  EXPECT_EQ(after.Check().repeated_effects, 1u) << "two effects of the second writing";
  run.history.requests[2].first_sent_at_ms = kWrittenAgainMs;
  EXPECT_EQ(run.Check().repeated_effects, 1u) << "written once";
}

TEST(VerdictTest, ARejectionOfARequestThatRanIsFound) {
  TestRun run;
  run.history.requests[2].outcome = RequestOutcome::kRejected;
  EXPECT_EQ(run.Check().repeated_effects, 1u);
}

TEST(VerdictTest, ASendAfterADrainIsFoundFromTheProxysNotifications) {
  TestRun run;
  run.history.notifications = {{"n1", "c2", true, 0}, {"n1", "c2", false, 300}};
  EXPECT_EQ(run.Check().sends_after_drain, 1u);
  run.history.notifications[1].sent_at_ms = 500;  // 505 ms: within grace and transit
  EXPECT_EQ(run.Check().sends_after_drain, 0u);
  run.history.notifications[1].sent_at_ms = 300;
  run.AddStop(0, 600);  // it read it at 600
  EXPECT_EQ(run.Check().sends_after_drain, 0u);
  run.history.disruptions.clear();
  run.AddStop(200, 600);  // shorter than the grace, which left it time to read it
  EXPECT_EQ(run.Check().sends_after_drain, 1u);
  run.history.disruptions.clear();
  run.history.attempts[2].backend_process = "z0";
  run.history.lags = {{300, 1005, "z1"}, {300, 404, kLinkProxyProcess}};
  EXPECT_EQ(run.Check().sends_after_drain, 1u) << "the rest of the time was enough";
  run.history.lags.push_back({404, 405, "z0"});
  EXPECT_EQ(run.Check().sends_after_drain, 0u) << "its backend was not run to receive it";
  run.history.lags.clear();
  run.history.notifications.push_back({"n1", "c2", true, 900});  // back since
  EXPECT_EQ(run.Check().sends_after_drain, 0u);
}

// Sends calls to a backend that started at 20000, in slow start for 10 s with this budget in each second; a
// call's mean work is 20 ms.
struct SlowStartCalls {
  int calls = 0;
  double from_ms = 0;
  double apart_ms = 0;
  double budget = 36;
  double work_ms = 0;  // 0: the mean

  Verdict Check() const {
    TestRun run;
    run.rules.slow_start = SlowStartRules{1000, 10000, 20, [calls = *this](double) { return calls.budget; }};
    run.history.backend_starts.push_back({"c5", 20000});
    for (int i = 0; i < calls; ++i) {
      AttemptRecord attempt;
      attempt.id = "r2";
      attempt.backend = "c5";
      attempt.received_at_ms = from_ms + i * apart_ms;
      attempt.work_ms = work_ms;
      run.history.attempts.push_back(attempt);
    }
    return run.Check();
  }

  std::uint64_t Violations() const { return Check().slow_start_violations; }
};

// 36 calls in a second are the budget, and 14 more are allowed for chance: 50 pass in every window, 51 do
// not.
TEST(VerdictTest, ABackendInSlowStartIsHeldToTheSumOfAllProxies) {
  EXPECT_EQ((SlowStartCalls{50, 20100, 10}.Violations()), 0u);
  EXPECT_EQ((SlowStartCalls{50, 20100, 10}.Check().max_slow_start_ratio), 1);
  EXPECT_EQ((SlowStartCalls{51, 20100, 10}.Violations()), 1u);
  EXPECT_FALSE((SlowStartCalls{51, 20100, 10}.Check().Passed()));
  EXPECT_EQ((SlowStartCalls{500, 20100, 20.1}.Violations()), 0u) << "50 in each second";
  EXPECT_EQ((SlowStartCalls{500, 20100, 19}.Violations()), 1u);
}

TEST(VerdictTest, ASmallSlowStartBudgetHasALargerAllowanceForChance) {
  EXPECT_EQ((SlowStartCalls{12, 20100, 10, 9}.Violations()), 0u) << "3 sqrt(9) + 3";
  EXPECT_EQ((SlowStartCalls{13, 20100, 10, 9}.Violations()), 1u);
}

TEST(VerdictTest, CallsInSlowStartCountByTheirWorkTooIfThatIsMore) {
  EXPECT_EQ((SlowStartCalls{25, 20100, 10, 36, 40}.Violations()), 0u) << "half as many, twice as heavy";
  EXPECT_EQ((SlowStartCalls{26, 20100, 10, 36, 40}.Violations()), 1u);
  EXPECT_EQ((SlowStartCalls{51, 20100, 10, 36, 5}.Violations()), 1u) << "light ones are calls too";
  EXPECT_EQ((SlowStartCalls{250, 20100, 40.1, 36, 40}.Violations()), 0u) << "25 heavy ones in each second";
}

TEST(VerdictTest, CallsBeforeTheStartAndAfterSlowStartDoNotCount) {
  EXPECT_EQ((SlowStartCalls{100, 18000, 10}.Violations()), 0u) << "before it started";
  EXPECT_EQ((SlowStartCalls{100, 31000, 10}.Violations()), 0u) << "after slow start";
  EXPECT_EQ((SlowStartCalls{1, 20100, 10}.Check().slow_starts), 1u);
}

TEST(VerdictTest, WrongResponsesOverloadsAndUnaccountedRequestsAreCounted) {
  TestRun run;
  run.history.requests[0].has_wrong_response = true;
  run.history.overloaded_backends.push_back("c1");
  run.history.requests_started = 4;
  run.AddEffect("nobody", "", "c1");
  const Verdict verdict = run.Check();
  EXPECT_EQ(verdict.wrong_responses, 1u);
  EXPECT_EQ(verdict.overloaded_backends, 1u);
  EXPECT_EQ(verdict.unaccounted, 2u);
  EXPECT_FALSE(verdict.Passed());
  EXPECT_EQ(verdict.violations.size(), 4u);
}

}  // namespace
}  // namespace badgerbridge::multiprocess
