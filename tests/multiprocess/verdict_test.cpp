// SPDX-License-Identifier: Apache-2.0
//
// Each rule that is broken is found, and what only looks like it is not.
#include "multiprocess/verdict.h"

#include <gtest/gtest.h>

namespace badgerbridge::multiprocess {
namespace {

// Classes 0 safe, 1 keyed, 2 unsafe; one request of each, served.
struct Fixture {
  Rules rules{{Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNotIdempotent},
              {1, 3, 5},
              {500, 500, 500},
              {0.5, 0.5, 0.5},
              500,
              100};
  History history;
  Fixture() {
    Ask("r1", 0);
    Ask("r2", 1);
    Ask("r3", 2);
    Ran("r1", "", "c1");
    Ran("r2", "k2", "c1");
    Ran("r3", "", "c2");
    history.wanted = 3;
  }
  Asked& Ask(const std::string& id, std::size_t cls, Asked::End end = Asked::End::kServed,
             double sent = 1000) {
    Asked one;
    one.id = id;
    one.request_class = cls;
    one.proxy = "n1";
    one.began = one.sent = sent;
    one.ended = sent + 20;
    one.end = end;
    history.asked.push_back(one);
    return history.asked.back();
  }
  // r3 again, as one of a client that connects to the proxy itself, at 1000 with 400 ms to go.
  Asked& Direct(Asked::End end, double ended) {
    Asked& one = history.asked[2];
    one.direct = true;
    one.due = 1400;
    one.end = end;
    one.ended = ended;
    return one;
  }
  void Stopped(double from, double until) {
    history.excuses.push_back({"n1", from, until, Excuse::Why::kStopped});
  }
  // r1 was sent at 1000, at rest since 900, and its connection's end was seen at 1001, unread.
  Crossed& Cross() {
    history.crossed.push_back({"r1", "n1", 1000, 1001, 900, true});
    return history.crossed.back();
  }
  void Ran(const std::string& id, const std::string& key, const std::string& backend, double at = 1005,
           const std::string& group = "z0/0") {
    history.came.push_back({id, key, backend, group, at, true});
  }
  Verdict Pass() const { return Judge(rules, history); }
};

TEST(TrialVerdict, WhatIsInOrderHolds) {
  Fixture c;
  c.Ran("r1", "", "c2");  // a safe one may run twice
  const Verdict v = c.Pass();
  EXPECT_TRUE(v.holds()) << (v.breaches.empty() ? "" : v.breaches[0]);
  EXPECT_EQ(v.served, 3u);
  EXPECT_EQ(v.worth_served, 9);
}

TEST(TrialVerdict, ALostRequestIsFoundUnlessItsProxyWasKilled) {
  Fixture c;
  c.history.asked[1].end = Asked::End::kLost;
  EXPECT_EQ(c.Pass().lost, 1u);
  c.history.excuses.push_back({"n2", 900, 2000});
  EXPECT_EQ(c.Pass().lost, 1u);
  c.history.excuses.push_back({"n1", 1010, 2000});
  EXPECT_EQ(c.Pass().lost, 0u);
  EXPECT_EQ(c.Pass().excused, 1u);
}

// A stop makes answers late. It takes none away.
TEST(TrialVerdict, AStopExcusesThatAnAnswerIsLateAndNoEndOfItsConnection) {
  Fixture c;
  Asked& one = c.history.asked[1];
  one.end = Asked::End::kLost;
  c.Stopped(1010, 2000);
  EXPECT_EQ(c.Pass().excused, 1u);
  one.ended_by_peer = true;
  EXPECT_EQ(c.Pass().lost, 1u);
  EXPECT_FALSE(c.Pass().holds());
}

TEST(TrialVerdict, AProxyThatEndedAsItWasAskedToExcusesOnlyWhatWasSentAfterwards) {
  Fixture c;
  Asked& one = c.history.asked[1];
  one.end = Asked::End::kLost;
  one.ended_by_peer = true;
  c.history.excuses.push_back({"n1", 1010, 2000, Excuse::Why::kDoorClosed});
  EXPECT_EQ(c.Pass().excused, 1u) << "the relay had accepted it, a moment before";
  c.history.excuses[0].from = 1100;
  one.ended = 1200;
  EXPECT_EQ(c.Pass().lost, 1u) << "it was sent while the door was open";
  c.history.excuses[0].from = 990;
  EXPECT_EQ(c.Pass().lost, 0u);
  one.direct = true;
  EXPECT_EQ(c.Pass().lost, 1u) << "the proxy's machine accepted it";
}

// Clients that connect to the proxies wait half a second beyond their time, and a stop is shorter.
TEST(TrialVerdict, AStopExcusesNothingOfThoseWhoWaitForLateAnswers) {
  Fixture c;
  c.Direct(Asked::End::kServed, 1900);
  c.Stopped(1390, 1790);
  EXPECT_EQ(c.Pass().late, 1u);
  EXPECT_TRUE(c.Pass().holds());
  c.Direct(Asked::End::kLost, 1901);
  EXPECT_EQ(c.Pass().lost, 1u);
  c.Direct(Asked::End::kLost, 1100).ended_by_peer = true;
  EXPECT_EQ(c.Pass().lost, 1u);
  c.Stopped(1050, 1501);  // longer than any that the trial means
  EXPECT_EQ(c.Pass().lost, 1u);
  c.history.asked[2].ended_by_peer = false;
  EXPECT_EQ(c.Pass().excused, 1u);
}

// What the machine does not run can't answer in time; it has no reason to end a connection.
TEST(TrialVerdict, AProxyWithoutAProcessorIsExcusedOnlyThatItIsLate) {
  Fixture c;
  c.history.excuses.push_back({"n1", 1200, 1500, Excuse::Why::kStarved});
  c.Direct(Asked::End::kLost, 1901);
  EXPECT_EQ(c.Pass().excused, 1u);
  c.history.asked[2].ended_by_peer = true;
  EXPECT_EQ(c.Pass().lost, 1u);
  c.Direct(Asked::End::kLost, 1199).ended_by_peer = false;
  EXPECT_EQ(c.Pass().lost, 1u) << "not then";
}

TEST(TrialVerdict, WhoLeavesLosesNothingButNoAttemptBeginsForIt) {
  Fixture c;
  c.history.came.pop_back();
  c.Direct(Asked::End::kLeft, 1050).closed = 1050;
  c.Ran("r3", "", "c2", 1150);
  EXPECT_EQ(c.Pass().left, 1u);
  EXPECT_TRUE(c.Pass().holds());
  c.history.came.back().at = 1151;
  EXPECT_EQ(c.Pass().after_departure, 1u);
  EXPECT_FALSE(c.Pass().holds());
  c.Stopped(1040, 1150);
  EXPECT_EQ(c.Pass().after_departure, 1u) << "a stop is no excuse";
  c.history.lags.push_back({1060, 1062});
  EXPECT_EQ(c.Pass().after_departure, 0u) << "the converters were not run meanwhile";
  c.history.lags.clear();
  c.rules.prompt_links = false;
  EXPECT_EQ(c.Pass().after_departure, 0u) << "links of this plan hold up what was sent before";
}

TEST(TrialVerdict, ADeadlineBeyondWhatTheClientHasLeftIsFound) {
  Fixture c;
  c.Direct(Asked::End::kServed, 1300);
  c.history.came[2].at = 1200;
  c.history.came[2].time_left = 350;
  EXPECT_EQ(c.Pass().too_long, 0u);
  c.history.came[2].time_left = 351;
  EXPECT_EQ(c.Pass().too_long, 1u);
  EXPECT_FALSE(c.Pass().holds());
  c.Stopped(1000, 1190);
  EXPECT_EQ(c.Pass().too_long, 1u) << "a proxy that was stopped knows for how long";
  c.history.lags = {{1100, 1101}, {1100.5, 1101}};
  EXPECT_EQ(c.Pass().too_long, 0u) << "the relay was not run meanwhile";
  c.history.came[2].time_left = 352;
  EXPECT_EQ(c.Pass().too_long, 1u) << "lags of two parts at once count once";
}

// Right when the stop began, and sent when it ended: no look is so late that this can't be. Only what fits is
// believed.
TEST(TrialVerdict, AProxyMayBeStoppedOnThePointOfSendingADeadline) {
  Fixture c;
  c.Direct(Asked::End::kServed, 1390);
  c.Stopped(1010, 1300);
  Came& came = c.history.came[2];
  came.at = 1301;
  came.time_left = 386;  // of 390 at 1010
  EXPECT_EQ(c.Pass().too_long, 1u) << "the proxy was waiting when it was stopped";
  c.history.excuses[0].at_work = true;
  EXPECT_EQ(c.Pass().raced, 1u);
  EXPECT_TRUE(c.Pass().holds());
  came.time_left = 451;  // long before the stop
  EXPECT_EQ(c.Pass().too_long, 1u);
  came.time_left = 365;  // in the stop
  EXPECT_EQ(c.Pass().too_long, 1u);
  came.time_left = 386;
  came.at = 1321;  // it had time to look again
  EXPECT_EQ(c.Pass().too_long, 1u);
  came.at = 1301;
  c.history.asked[2].sent = 1016;  // it came in the stop
  EXPECT_EQ(c.Pass().too_long, 1u);
}

TEST(TrialVerdict, AProxyMayBeStoppedOnThePointOfSendingForOneWhoLeaves) {
  Fixture c;
  c.Direct(Asked::End::kLeft, 1050).closed = 1050;
  c.Stopped(1010, 1300);
  c.history.came[2].at = 1301;
  EXPECT_EQ(c.Pass().after_departure, 1u) << "the proxy was waiting when it was stopped";
  c.history.excuses[0].at_work = true;
  EXPECT_EQ(c.Pass().raced, 1u);
  EXPECT_TRUE(c.Pass().holds());
  c.history.came[2].at = 1321;  // it had time to look again
  EXPECT_EQ(c.Pass().after_departure, 1u);
  c.history.came[2].at = 1301;
  c.history.asked[2].sent = 1016;  // it came in the stop
  EXPECT_EQ(c.Pass().after_departure, 1u);
  c.history.asked[2].sent = 900;
  c.history.asked[2].closed = 980;  // long before it
  EXPECT_EQ(c.Pass().after_departure, 1u);
}

TEST(TrialVerdict, ManyStopsOnThePointOfSendingAreNotBelieved) {
  Fixture c;
  c.Direct(Asked::End::kLeft, 1050).closed = 1050;
  c.Stopped(1010, 1300);
  c.history.excuses[0].at_work = true;
  c.history.came[2].at = 1301;
  c.history.came.push_back(c.history.came[2]);
  c.history.came[3].took_effect = false;
  EXPECT_EQ(c.Pass().over_raced, 2u);
  EXPECT_FALSE(c.Pass().holds());
  for (int i = 0; i < 39; ++i) c.Stopped(3000 + i, 3000 + i + 0.5);
  EXPECT_TRUE(c.Pass().holds()) << "two of forty";
}

TEST(TrialVerdict, ARequestMayCrossTheEndOfAConnectionAtRestUnread) {
  Fixture c;
  c.Cross();
  EXPECT_EQ(c.Pass().crossed, 1u);
  EXPECT_TRUE(c.Pass().holds());
}

TEST(TrialVerdict, ACrossingOfWhatHadBeenReadIsALoss) {
  Fixture c;
  c.Cross().unread = false;
  EXPECT_EQ(c.Pass().lost, 1u);
  EXPECT_FALSE(c.Pass().holds());
}

TEST(TrialVerdict, AnEndOnANewConnectionIsALoss) {
  Fixture c;
  c.Cross().last_answer = 0;
  EXPECT_EQ(c.Pass().lost, 1u);
}

// The end of a connection is as long as the proxy is stopped between its look and the end, and no longer.
TEST(TrialVerdict, AnEndLongAfterTheRequestIsALossUnlessTheProxyWasStopped) {
  Fixture c;
  c.Cross().ended = 1110;
  EXPECT_EQ(c.Pass().lost, 1u);
  c.Stopped(990, 1050);
  EXPECT_EQ(c.Pass().lost, 0u);
  c.history.crossed[0].ended = 1160;
  EXPECT_EQ(c.Pass().lost, 1u);
}

TEST(TrialVerdict, ARequestBehindAnotherIsNotBetweenRequests) {
  Fixture c;
  Crossed& one = c.Cross();
  one.last_answer = 1020;
  one.ended = 1021;
  EXPECT_EQ(c.Pass().lost, 0u) << "it crossed the answer that said so";
  one.last_answer = 1040;
  one.ended = 1041;
  EXPECT_EQ(c.Pass().lost, 1u);
}

TEST(TrialVerdict, SecondEffectsAreFoundByIdAndByKey) {
  Fixture c;
  c.Ran("r3", "", "c1");
  EXPECT_EQ(c.Pass().twice, 1u);
  Fixture d;
  d.Ran("r2", "k2", "c9", 1010, "z1/0");
  EXPECT_EQ(d.Pass().twice, 1u);
}

TEST(TrialVerdict, ARefusalOfWhatRanIsFound) {
  Fixture c;
  c.history.asked[2].end = Asked::End::kRefused;
  EXPECT_EQ(c.Pass().twice, 1u);
}

TEST(TrialVerdict, ALateSendIsFoundFromWhatThatProxyWasTold) {
  Fixture c;
  c.history.told = {{"n1", "c2", true, 0}, {"n1", "c2", false, 300}};
  EXPECT_EQ(c.Pass().late_sends, 1u);
  c.history.told[1].at = 500;  // 505 ms: within grace and slack
  EXPECT_EQ(c.Pass().late_sends, 0u);
  c.history.told[1].at = 300;
  c.Stopped(0, 600);  // it read it at 600
  EXPECT_EQ(c.Pass().late_sends, 0u);
  c.history.excuses.clear();
  c.Stopped(200, 600);  // shorter than the grace, which left it time to read it
  EXPECT_EQ(c.Pass().late_sends, 1u);
  c.history.excuses.clear();
  c.history.told.push_back({"n1", "c2", true, 900});  // back since
  EXPECT_EQ(c.Pass().late_sends, 0u);
}

// 36 calls in a second are its budget, and 14 more by chance: 50 hold in every window, 51 do not; what a warm
// one gets, or got before it started, is no matter.
TEST(TrialVerdict, AColdBackendIsHeldToTheSumOfAllProxies) {
  const auto pass = [](int calls, double from, double apart, double budget = 36, double work = 0) {
    Fixture c;
    c.rules.window = 1000;
    c.rules.slow_start_window = 10000;
    c.rules.mean_work = 20;
    c.rules.cold_budget = [budget](double) { return budget; };
    c.history.started.push_back({"c5", 20000});
    for (int i = 0; i < calls; ++i) {
      Came one;
      one.id = "r2";
      one.backend = "c5";
      one.at = from + i * apart;
      one.work = work;
      c.history.came.push_back(one);
    }
    return c.Pass();
  };
  EXPECT_EQ(pass(50, 20100, 10).over_cold, 0u);
  EXPECT_EQ(pass(50, 20100, 10).worst_cold, 1);
  EXPECT_EQ(pass(51, 20100, 10).over_cold, 1u);
  EXPECT_FALSE(pass(51, 20100, 10).holds());
  EXPECT_EQ(pass(500, 20100, 20.1).over_cold, 0u) << "50 in each second";
  EXPECT_EQ(pass(500, 20100, 19).over_cold, 1u);
  EXPECT_EQ(pass(12, 20100, 10, 9).over_cold, 0u) << "few: 3 sqrt(9) + 3";
  EXPECT_EQ(pass(13, 20100, 10, 9).over_cold, 1u);
  EXPECT_EQ(pass(25, 20100, 10, 36, 40).over_cold, 0u) << "half as many, twice as heavy";
  EXPECT_EQ(pass(26, 20100, 10, 36, 40).over_cold, 1u);
  EXPECT_EQ(pass(51, 20100, 10, 36, 5).over_cold, 1u) << "light ones are calls all the same";
  EXPECT_EQ(pass(250, 20100, 40.1, 36, 40).over_cold, 0u) << "25 heavy ones in each second";
  EXPECT_EQ(pass(100, 18000, 10).over_cold, 0u) << "before it started";
  EXPECT_EQ(pass(100, 31000, 10).over_cold, 0u) << "warm by then";
  EXPECT_EQ(pass(1, 20100, 10).cold_starts, 1u);
}

TEST(TrialVerdict, AnswersFallsAndWhatIsUnaccountedForAreCounted) {
  Fixture c;
  c.history.asked[0].doubled = true;
  c.history.fell.push_back("c1");
  c.history.wanted = 4;
  c.Ran("nobody", "", "c1");
  const Verdict v = c.Pass();
  EXPECT_EQ(v.doubled, 1u);
  EXPECT_EQ(v.fell, 1u);
  EXPECT_EQ(v.unaccounted, 2u);
  EXPECT_FALSE(v.holds());
  EXPECT_EQ(v.breaches.size(), 4u);
}

}  // namespace
}  // namespace badgerbridge::multiprocess
