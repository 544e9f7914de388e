// SPDX-License-Identifier: Apache-2.0
//
// The module's decisions, each at its boundary. Events are written out; no bench is needed.
#include "badgerbridge/balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::At;
using testing::Class;
using testing::Entry;
using testing::Rig;
using testing::Usual;

RequestId next_id = 1;

// One request and its answer, which fails if it came from one of `failing`.
void AnswerOne(Rig& rig, Outcome outcome, std::set<BackendId> failing, double took = 10) {
  const RequestId id = next_id++;
  const auto server = rig.Ask(id, 2, 10, 5000);  // unsafe: one attempt, so nothing is sent again
  ASSERT_TRUE(server.has_value());
  const bool fails = failing.count(*server) > 0;
  rig.End(id, 0, *server, fails ? outcome : Outcome::kOk, took);
}

std::optional<BackendId> AskAndEnd(Rig& rig) {
  const RequestId id = next_id++;
  const auto server = rig.Ask(id);
  if (server) rig.End(id, 0, *server, Outcome::kOk);
  return server;
}

bool InService(Rig& rig, BackendId server) {
  std::vector<std::pair<RequestId, BackendId>> open;
  bool seen = false;
  for (int i = 0; i < 3; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    if (!s) break;
    open.emplace_back(id, *s);
    seen |= *s == server;
  }
  for (const auto& [id, s] : open) rig.End(id, 0, s, Outcome::kCancelled);
  return seen;
}

// Gives each of three servers `per_server` answers; `failures` of server 1's fail, first ones first.
void Answers(Rig& rig, int per_server, int failures, Outcome outcome = Outcome::kError) {
  for (int i = 0; i < per_server; ++i) {
    std::map<BackendId, RequestId> open;
    for (int k = 0; k < 3; ++k) {
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10, 5000);
      ASSERT_TRUE(s.has_value());
      open[*s] = id;
    }
    // Server 1 last: the others qualify by then.
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
      const auto [s, id] = *it;
      rig.End(id, 0, s, s == 1 && i < failures ? outcome : Outcome::kOk);
    }
  }
}

TEST(OutlierDetection, EjectsAtTheVolumeFloorAndNotBelow) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 2, 2);
  EXPECT_TRUE(InService(rig, 1)) << "two attempts are under the volume floor";
  Answers(rig, 1, 1);
  EXPECT_FALSE(InService(rig, 1));
}

TEST(OutlierDetection, TheVolumeFloorIsTheServersOwn) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 3, 3, Outcome::kCancelled);  // the others qualify, server 1 has no answer that counts
  Answers(rig, 2, 2);
  EXPECT_TRUE(InService(rig, 1));
  Answers(rig, 1, 1);
  EXPECT_FALSE(InService(rig, 1));
}

TEST(OutlierDetection, NoMoreThanHalfAreOut) {
  Settings settings = Usual();
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.Servers(6);
  std::set<BackendId> late_on;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    if (i >= 80) late_on.insert(*s);
    rig.End(id, 0, *s, *s <= 4 ? Outcome::kReset : Outcome::kOk);
  }
  EXPECT_EQ(late_on.size(), 3u) << "four of six always fail; three are out";
}

TEST(OutlierDetection, ThresholdIsStrict) {
  Rig at;
  at.Servers(3);
  // 2 of 5 failing is exactly 0.4; successes first so that no shorter prefix is over the threshold.
  for (int i = 0; i < 5; ++i) Answers(at, 1, i >= 3 ? 1 : 0);
  EXPECT_TRUE(InService(at, 1));
  Rig over;
  over.Servers(3);
  for (int i = 0; i < 4; ++i) Answers(over, 1, i >= 2 ? 1 : 0);
  EXPECT_FALSE(InService(over, 1));
}

TEST(OutlierDetection, MinimumHosts) {
  Rig rig;
  rig.Servers(1);
  for (int i = 0; i < 10; ++i) AnswerOne(rig, Outcome::kError, {1});
  EXPECT_TRUE(InService(rig, 1)) << "there is nothing to compare a lone server with";
}

TEST(OutlierDetection, CancelsAndMootTellNothing) {
  for (Outcome outcome : {Outcome::kCancelled, Outcome::kNotSent, Outcome::kUnknown}) {
    Settings settings = Usual();
    settings.max_attempts = 1;
    Rig rig(settings);
    rig.Servers(3);
    Answers(rig, 6, 6, outcome);
    EXPECT_TRUE(InService(rig, 1));
  }
}

TEST(OutlierDetection, EveryFailureCounts) {
  for (Outcome outcome :
       {Outcome::kError, Outcome::kRejected, Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset}) {
    Settings s = Usual();
    s.max_attempts = 1;
    Rig rig(s);
    rig.Servers(3);
    Answers(rig, 3, 3, outcome);
    EXPECT_FALSE(InService(rig, 1)) << static_cast<int>(outcome);
  }
}

TEST(OutlierDetection, ReturnsByTimerAndBacksOffByMultiplier) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 3, 3);
  EXPECT_FALSE(InService(rig, 1));
  rig.Tick(1999);
  EXPECT_FALSE(InService(rig, 1));
  rig.Tick(1);
  EXPECT_TRUE(InService(rig, 1)) << "base ejection time x 1";
}

TEST(OutlierDetection, MultiplierFallsAtReturnAndPerInterval) {
  Rig rig;
  rig.Servers(3);
  // 1 at ejection, 0 at return, 1 at the next: the same time again, as A50's step 6b has it.
  for (int round = 0; round < 3; ++round) {
    Answers(rig, 3, 3);
    EXPECT_FALSE(InService(rig, 1));
    rig.Tick(2000);
    EXPECT_TRUE(InService(rig, 1));
    rig.Tick(2000);
  }
}

TEST(OutlierDetection, TheMultiplierFallsAtReturnBeforeAnyInterval) {
  Rig rig;
  rig.Servers(3);
  rig.Tick(1000);  // half way through an interval
  Answers(rig, 3, 3);
  rig.Tick(1500);  // it ends while the server is out
  rig.Tick(500);
  EXPECT_TRUE(InService(rig, 1));
  Answers(rig, 3, 3);
  EXPECT_FALSE(InService(rig, 1));
  rig.Tick(2000);
  EXPECT_TRUE(InService(rig, 1)) << "twice as long had the multiplier not fallen";
}

TEST(OutlierDetection, TheCapLeavesServersIn) {
  Rig rig;
  rig.Servers(4);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    rig.End(id, 0, *s, Outcome::kError);
  }
  std::set<BackendId> in;
  for (BackendId s = 1; s <= 4; ++s) {
    if (InService(rig, s)) in.insert(s);
  }
  EXPECT_GE(in.size(), 2u) << "never more than half";
}

TEST(OutlierDetection, AFleetFailingThroughoutDoesNotEjectItself) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 40; ++i) AnswerOne(rig, Outcome::kError, {1, 2, 3});
  int in = 0;
  for (BackendId s = 1; s <= 3; ++s) in += InService(rig, s);
  EXPECT_EQ(in, 3);
}

// With half the fleet failing, twice the share elsewhere passed 1 and nothing was ejected any more.
TEST(OutlierDetection, AServerAlwaysFailingGoesHoweverBadTheRest) {
  Settings settings = Usual();
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.Servers(4);
  for (int i = 0; i < 24; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    rig.End(id, 0, *s, *s == 1 || i % 2 ? Outcome::kError : Outcome::kOk);
  }
  EXPECT_FALSE(InService(rig, 1));
}

TEST(OutlierDetection, StateIsKeptWhenListedAgain) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 3, 3);
  rig.List({Entry(1, 0, 0, BackendState::kGone)}, EndpointListKind::kDelta);
  rig.List({Entry(1)}, EndpointListKind::kDelta);
  EXPECT_FALSE(InService(rig, 1));
}

TEST(Pick, LeastHintedWorkOfItsOwnInFlight) {
  Rig rig;
  rig.Servers(3);
  const auto a = rig.Ask(1001, 0, 50), b = rig.Ask(1002, 0, 20), c = rig.Ask(1003, 0, 40);
  EXPECT_EQ(std::set<BackendId>({*a, *b, *c}).size(), 3u);
  EXPECT_EQ(rig.Ask(1004, 0, 25), b) << "20 in flight is the least";
  EXPECT_EQ(rig.Ask(1005, 0, 5), c) << "now 40 is";
}

TEST(Pick, CountsWithoutHints) {
  Rig rig;
  rig.Servers(2);
  const auto a = rig.Ask(1011, 0, 0), b = rig.Ask(1012, 0, 0);
  EXPECT_NE(a, b);
  rig.End(1011, 0, *a, Outcome::kOk);
  EXPECT_EQ(rig.Ask(1013, 0, 0), a);
}

TEST(Pick, AmongIdleServersTheOwnZoneGoesFirstWhereCrossingHasAPrice) {
  Settings s = Usual();
  s.cross_zone_cost = 0.02;
  Rig rig(s);
  rig.List({Entry(1, 1), Entry(2, 0), Entry(3, 1)});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), BackendId{2});
  rig.Ask(next_id++);
  EXPECT_NE(rig.Ask(next_id++), BackendId{2}) << "a whole request in flight outweighs it";
}

TEST(Pick, TiesAtRandom) {
  std::set<BackendId> seen;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Rig rig(Usual(), seed);
    rig.Servers(4);
    seen.insert(*rig.Ask(1));
  }
  EXPECT_EQ(seen.size(), 4u);
}

// A slow server that answers within its time-out is never ejected; idle, it looked as good as any other.
TEST(Pick, AServerThatAnswersSlowerCountsAsBusier) {
  Rig rig;
  rig.Servers(2);
  for (int i = 0; i < 40; ++i) {
    const RequestId id = next_id++;
    const auto server = rig.Ask(id, 0, 10, 900);
    rig.End(id, 0, *server, Outcome::kOk, *server == 1 ? 60 : 20);
  }
  for (int i = 0; i < 10; ++i) EXPECT_EQ(AskAndEnd(rig), BackendId{2});
  // And with that one busy it still serves.
  const RequestId busy = next_id++;
  EXPECT_EQ(rig.Ask(busy, 0, 100, 900), BackendId{2});
  EXPECT_EQ(rig.Ask(next_id++, 0, 10, 900), BackendId{1});
}

// Spread evenly, a key was served afresh by one server after the other: up to half of all work for nothing.
TEST(Pick, AKeyGoesWhereItIsWarmUnlessThatIsFarBusier) {
  Settings settings = Usual();
  settings.key_affinity = true;
  Rig rig(settings);
  rig.Servers(4);
  auto ask = [&](std::uint64_t key, double work = 10) { return *rig.Ask(next_id++, 0, work, 5000, key); };
  const BackendId home = ask(7);
  EXPECT_EQ(ask(7), home) << "10 in flight there, but the key saves its work";
  EXPECT_NE(ask(8), home) << "another key";
  EXPECT_NE(ask(0), home) << "no key";
  EXPECT_NE(ask(7, 1), home) << "20 in flight there weigh more than so small a saving";

  Rig forgets(settings);
  forgets.Servers(4);
  std::set<BackendId> later;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = next_id++;
    later.insert(*forgets.Ask(id, 0, 10, 5000, 9));
    forgets.End(id, 0, forgets.sent.back().server, Outcome::kOk);
    forgets.Tick(4001);
  }
  EXPECT_GT(later.size(), 1u) << "forgotten";

  settings.key_affinity = false;
  Rig none(settings);
  none.Servers(2);
  const auto first = none.Ask(next_id++, 0, 10, 5000, 7);
  EXPECT_NE(none.Ask(next_id++, 0, 10, 5000, 7), first);
}

TEST(Pick, EjectedServersServeWhenNoneElseCan) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 3, 3);
  rig.List({Entry(2, 0, 0, BackendState::kGone), Entry(3, 0, 0, BackendState::kGone)},
           EndpointListKind::kDelta);
  EXPECT_EQ(rig.Ask(next_id++), BackendId{1});
}

// ---- Aperture: a proxy with few requests ranks few servers, and all proxies together rank all alike
// ----------
Settings OneOf(int balancers, int me) {
  Settings s = Usual();
  s.balancer_count = balancers;
  s.balancer_index = me;
  return s;
}

TEST(Aperture, AProxyWithFewRequestsUsesFewServersOfALargeFleet) {
  Rig rig(OneOf(400, 7));
  rig.Servers(100);
  std::set<BackendId> used;
  for (int i = 0; i < 300; ++i) {
    rig.Tick(200);
    used.insert(*AskAndEnd(rig));
  }
  EXPECT_LE(used.size(), 8u);
  EXPECT_GE(used.size(), 4u);
}

TEST(Aperture, AProxyWithManyRequestsUsesThemAll) {
  Rig rig(OneOf(2, 1));
  rig.Servers(20);
  std::set<BackendId> used;
  for (int i = 0; i < 2000; ++i) {
    rig.Tick(5);
    used.insert(*AskAndEnd(rig));
  }
  EXPECT_EQ(used.size(), 20u);
}

TEST(Aperture, ServersAreInAboutAsManyAperturesEach) {
  std::map<BackendId, int> users;
  for (int me = 0; me < 200; ++me) {
    Rig rig(OneOf(200, me));
    rig.Servers(50);
    std::set<BackendId> used;
    for (int i = 0; i < 60; ++i) {
      rig.Tick(200);
      used.insert(*AskAndEnd(rig));
    }
    for (BackendId s : used) ++users[s];
  }
  ASSERT_EQ(users.size(), 50u) << "no server is left out";
  // 24 in the mean; places drawn at random would differ by 4.6 (one deviation) and reach far lower and
  // higher.
  for (const auto& [s, n] : users) {
    EXPECT_GE(n, 15) << "server " << s;
    EXPECT_LE(n, 33) << "server " << s;
  }
}

TEST(Aperture, AnEjectedServerIsMadeUpForByTheNext) {
  Settings settings = OneOf(400, 3);
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.Servers(100);
  std::set<BackendId> first;
  for (int i = 0; i < 60; ++i) {
    rig.Tick(200);
    first.insert(*AskAndEnd(rig));
  }
  ASSERT_GE(first.size(), 4u);
  const std::set<BackendId> failing = {*first.begin(), *std::next(first.begin())};
  std::set<BackendId> fresh;
  int at_failing = 0;
  for (int i = 0; i < 100; ++i) {
    const RequestId id = next_id++;
    rig.Tick(100);
    const auto s = rig.Ask(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    const bool fails = failing.count(*s) > 0;
    at_failing += fails;
    if (!first.count(*s)) fresh.insert(*s);
    rig.End(id, 0, *s, fails ? Outcome::kReset : Outcome::kOk);
  }
  EXPECT_LE(at_failing, 20) << "in service throughout they would get 28";
  EXPECT_GE(fresh.size(), 1u);
}

TEST(Aperture, TheIntervalGivesASmallProxyTheVolumeFloor) {
  Rig rig(OneOf(400, 3));
  rig.Servers(100);
  // Two requests a second over six servers: three answers of one server take nine seconds.
  std::map<BackendId, int> failed;
  for (int i = 0; i < 200; ++i) {
    const RequestId id = next_id++;
    rig.Tick(250);
    const auto s = rig.Ask(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    const bool bad = *s % 6 == 0;
    failed[*s] += bad;
    rig.End(id, 0, *s, bad ? Outcome::kReset : Outcome::kOk);
  }
  for (const auto& [s, n] : failed) EXPECT_LE(n, 28) << "server " << s << " was never ejected";
}

// The simulator reckons in microseconds: a timer fired one part of that early, was not set again, and a proxy
// with no other event lost the request it held.
TEST(Timers, OneThatFiresALittleEarlyIsSetAgain) {
  Rig rig;
  rig.List({});
  const std::vector<Action> listed = rig.actions;
  rig.Ask(1, 0, 10, 300);
  rig.actions.insert(rig.actions.begin(), listed.begin(), listed.end());
  double at = 0;
  std::uint64_t token = 0;
  int finals = 0;
  for (int i = 0; i < 200 && finals == 0; ++i) {
    for (const Action& a : rig.actions) {
      if (const auto* timer = std::get_if<SetTimer>(&a)) {
        at = timer->at.time_since_epoch().count();
        token = timer->token;
      }
    }
    rig.now = std::max(rig.now + 0.001, at - 0.0004);
    rig.Do(TimerFired{token});
    finals = rig.Count<Reject>() + rig.Count<FailRequest>();
  }
  EXPECT_EQ(finals, 1);
  EXPECT_LE(rig.now, 100300);
}

TEST(Drains, NothingNewFromTheMomentItIsKnown) {
  for (BackendState state : {BackendState::kDraining, BackendState::kGone}) {
    Rig rig;
    rig.Servers(2);
    rig.List({Entry(1, 0, 0, state)}, EndpointListKind::kDelta);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), BackendId{2});
  }
  Rig rig;
  rig.Servers(2);
  rig.List({Entry(2)});  // absent from a full list: removed
  for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), BackendId{2});
}

TEST(Discovery, AsksAtStartAndAgainAfterAFailure) {
  Settings s = Usual();
  s.polls_endpoint_list = true;
  s.max_poll_interval = Duration(10000);
  Rig rig(s);
  rig.List({Entry(1)}, EndpointListKind::kCached);
  EXPECT_EQ(rig.Count<Subscribe>(), 1);
  rig.Tick(100);
  EXPECT_EQ(rig.Count<Subscribe>(), 0) << "one call at a time";
  rig.List({}, EndpointListKind::kFailed);
  double waited = 0;
  while (rig.Count<Subscribe>() == 0 && waited < 20000) rig.Tick(10), waited += 10;
  EXPECT_GE(waited, 200);
  EXPECT_LE(waited, 2500);
  EXPECT_EQ(rig.Ask(next_id++), BackendId{1}) << "the old list serves";
  rig.List({Entry(1)});
  for (int i = 0; i < 1000; ++i) {
    rig.Tick(100);
    EXPECT_EQ(rig.Count<Subscribe>(), 0);
  }
}

TEST(Discovery, PushIsNeverAsked) {
  Rig rig;
  rig.List({Entry(1)}, EndpointListKind::kCached);
  for (int i = 0; i < 200; ++i) {
    rig.Tick(100);
    EXPECT_EQ(rig.Count<Subscribe>(), 0);
  }
}

// What follows an attempt of each class that ended in each way: sent again, refused or failed.
struct Verdict {
  int cls;
  Outcome outcome;
  bool again, refusable;
};

TEST(Attempts, OnlyWhatIsPermittedIsSentAgainOrRefused) {
  const Verdict verdicts[] = {
      {0, Outcome::kError, true, true},         {0, Outcome::kTimeout, true, true},
      {0, Outcome::kReset, true, true},         {0, Outcome::kRejected, true, true},
      {0, Outcome::kConnectFailed, true, true}, {1, Outcome::kError, true, false},
      {1, Outcome::kTimeout, true, false},      {1, Outcome::kRejected, true, true},
      {1, Outcome::kConnectFailed, true, true}, {1, Outcome::kReset, true, false},
      {2, Outcome::kError, false, false},       {2, Outcome::kTimeout, false, false},
      {2, Outcome::kReset, false, false},       {2, Outcome::kUnknown, false, false},
      {2, Outcome::kRejected, true, true},      {2, Outcome::kConnectFailed, true, true},
      {2, Outcome::kCancelled, false, false},
  };
  for (const Verdict& v : verdicts) {
    SCOPED_TRACE(::testing::Message() << "class " << v.cls << " outcome " << static_cast<int>(v.outcome));
    Rig rig;
    rig.Servers(3);
    const auto first = rig.Ask(1, v.cls);
    ASSERT_TRUE(first.has_value());
    rig.End(1, 0, *first, v.outcome);
    EXPECT_EQ(rig.SentTo(1).has_value(), v.again);
    if (v.again) {
      EXPECT_NE(rig.SentTo(1), first) << "elsewhere";
    } else {
      EXPECT_EQ(rig.Count<FailRequest>(), 1);
    }
    // And with no attempt left: refused only where that is permitted.
    Settings s = Usual();
    s.max_attempts = 1;
    Rig last(s);
    last.Servers(3);
    const auto only = last.Ask(1, v.cls);
    last.End(1, 0, *only, v.outcome);
    EXPECT_EQ(last.Count<Reject>(), v.refusable ? 1 : 0);
    EXPECT_EQ(last.Count<FailRequest>(), v.refusable ? 0 : 1);
  }
}

TEST(Attempts, KeyedRepeatsStayInTheGroupAndTheWindow) {
  for (int gone : {0, 1}) {
    Rig rig;
    rig.List({Entry(1, 0, 1), Entry(2, 0, 1), Entry(3, 0, 2), Entry(4, 1, 1)});
    BackendId first = *rig.Ask(next_id, 1);
    while (first > 2) {  // start in the cell of servers 1 and 2
      rig.End(next_id, 0, first, Outcome::kOk);
      first = *rig.Ask(++next_id, 1);
    }
    if (gone) rig.List({Entry(3 - first, 0, 1, BackendState::kGone)}, EndpointListKind::kDelta);
    rig.now += 100;
    rig.End(next_id, 0, first, Outcome::kError);
    EXPECT_EQ(rig.SentTo(next_id), gone ? first : 3 - first);
    rig.now += 401;  // past the 500 ms window
    rig.End(next_id, 1, gone ? first : 3 - first, Outcome::kError);
    EXPECT_FALSE(rig.SentTo(next_id).has_value());
    EXPECT_EQ(rig.Count<FailRequest>(), 1);
    ++next_id;
  }
}

// Second copies of slow requests took more from others than they won, where they were allowed.
TEST(Attempts, OneAtATime) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 30; ++i) AnswerOne(rig, Outcome::kOk, {});
  for (int i = 0; i < 30; ++i) {
    const RequestId id = next_id++;
    rig.End(id, 0, *rig.Ask(id, 0), Outcome::kOk);
  }
  const RequestId id = next_id++;
  rig.Ask(id, 0);
  rig.sent.clear();
  for (int i = 0; i < 100; ++i) rig.Tick(9);
  EXPECT_TRUE(rig.sent.empty());
}

// Time-outs of what was merely late doubled its work; a silent server must still be shown before the client's
// end.
TEST(Attempts, OnlyASilentServerGetsATimeOut) {
  Rig rig;
  rig.Servers(1);
  for (int i = 0; i < 40; ++i) AskAndEnd(rig);
  rig.Ask(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.back().timeout.count(), 0) << "it owes nothing yet";
  rig.Tick(5);
  rig.Ask(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.back().timeout.count(), 0) << "what it owes is not overdue";
}

TEST(Attempts, ASilentServerGetsATimeOutWhereARepeatIsPermitted) {
  for (int cls : {0, 1, 2}) {
    Rig rig;
    rig.Servers(1);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_id++;
      rig.End(id, 0, *rig.Ask(id, cls), Outcome::kOk);
    }
    rig.Ask(next_id++, cls, 10, 2000);
    rig.Tick(300);
    const RequestId id = next_id++;
    ASSERT_TRUE(rig.Ask(id, cls, 10, 2000).has_value());
    EXPECT_EQ(rig.sent.back().timeout.count() > 0, cls != 2);
  }
}

// A connection that has fallen silent: the server goes on answering what was sent after this one.
TEST(Attempts, OneThatOthersOvertookIsAbandonedWhereARepeatIsPermitted) {
  for (int cls : {0, 1, 2}) {
    Rig rig;
    rig.Servers(2);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_id++;
      rig.End(id, 0, *rig.Ask(id, cls), Outcome::kOk);
    }
    const RequestId stuck = next_id++;
    const BackendId server = *rig.Ask(stuck, cls, 10, 1000);
    std::vector<RequestId> later;  // sent there too: together they are more work than the stuck one
    while (later.size() < 3) {
      const RequestId id = next_id++;
      ASSERT_LT(id, stuck + 50);
      rig.now += 1;
      if (rig.Ask(id, cls, 10, 1000) == server) later.push_back(id);
    }
    int abandoned = 0;
    const auto note = [&] {
      for (const Action& action : rig.actions) {
        const auto* abandon = std::get_if<CancelAttempt>(&action);
        if (!abandon) continue;
        EXPECT_EQ(abandon->request, stuck);
        EXPECT_EQ(abandon->attempt, 0);
        ++abandoned;
      }
    };
    for (int i = 0; i < 10; ++i, note()) rig.Tick(20);
    EXPECT_EQ(abandoned, 0) << "it may be waiting for its turn";
    // Each pair is more work than the stuck one: one of the two goes to its server.
    for (const RequestId id : later) rig.End(id, 0, server, Outcome::kOk);
    note();
    for (int i = 0; i < 10; ++i, note()) rig.Tick(20);
    EXPECT_EQ(abandoned, cls == 2 ? 0 : 1);
    if (abandoned == 0) continue;
    rig.End(stuck, 0, server, Outcome::kCancelled, 400);
    EXPECT_TRUE(rig.SentTo(stuck).has_value());
  }
}

// Cut off from a server, a proxy must not send it what can't be repeated in time, one after the other.
TEST(Attempts, ASilentServerIsTriedNowAndThenByWhatMayBeRepeated) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = next_id++;
    rig.End(id, 0, *rig.Ask(id, i % 3), Outcome::kOk);
  }
  const RequestId lost = next_id++;
  const BackendId silent = *rig.Ask(lost, 2, 10, 900);
  int to_silent = 0, repeatable = 0;
  const auto ask = [&](int cls) {
    const RequestId id = next_id++;
    const auto sent_to = rig.Ask(id, cls, 10, 900);
    ASSERT_TRUE(sent_to.has_value());
    const BackendId at = *sent_to;
    if (at != silent) return rig.End(id, 0, at, Outcome::kOk);
    ++to_silent;
    repeatable += cls != 2 && rig.sent.back().timeout.count() > 0;
    rig.End(id, 0, at, Outcome::kTimeout, 100);
  };
  rig.Tick(300);
  for (int i = 0; i < 50; ++i) ask(2);
  EXPECT_EQ(to_silent, 0) << "it owes an answer that is overdue";
  rig.now += 600;
  rig.End(lost, 0, silent, Outcome::kTimeout, 900);
  for (int n = 0; n < 2; ++n) ASSERT_TRUE(rig.Ask(next_id++, 2, 150, 1e6));  // the others are busy
  for (int i = 0; i < 300; ++i) {
    rig.now += 10;
    ask(i % 3);
  }
  EXPECT_GE(to_silent, 1);
  EXPECT_LE(to_silent, 3) << "3 s";
  EXPECT_EQ(repeatable, to_silent);
}

TEST(Attempts, MaxAttempts) {
  Settings s = Usual();
  s.max_attempts = 2;
  Rig rig(s);
  rig.Servers(5);
  const auto first = rig.Ask(1, 0);
  rig.End(1, 0, *first, Outcome::kConnectFailed);
  const auto second = rig.SentTo(1);
  ASSERT_TRUE(second.has_value());
  rig.End(1, 1, *second, Outcome::kConnectFailed);
  EXPECT_FALSE(rig.SentTo(1).has_value());
  EXPECT_EQ(rig.Count<Reject>(), 1);
}

TEST(Attempts, AFailingFleetMeetsNoStorm) {
  Rig rig;
  rig.Servers(5);
  for (int i = 0; i < 300; ++i) {
    const RequestId id = next_id++;
    auto s = rig.Ask(id, 0);
    for (int attempt = 0; s; ++attempt) {
      rig.End(id, attempt, *s, Outcome::kError);
      s = rig.SentTo(id);
    }
  }
  EXPECT_LE(rig.sent.size(), 300u + 20u + 61u) << "a store of 20, and a fifth of the first sends";
  EXPECT_GE(rig.sent.size(), 300u + 20u);
}

TEST(ColdStart, BudgetOverEveryWindow) {
  Rig rig;
  std::vector<BackendEntry> list = {Entry(1), Entry(2), Entry(3)};
  rig.List(list);
  // 30 ms of work every 10 ms, answered at once, for 20 s: each warm server gets about 1 a ms.
  auto run = [&](double ms) {
    std::vector<std::pair<double, double>> sent;
    for (double t = 0; t < ms; t += 10) {
      rig.Tick(10);
      std::vector<std::pair<RequestId, BackendId>> open;
      for (int k = 0; k < 3; ++k) {
        const RequestId id = next_id++;
        const auto s = rig.Ask(id, 2, 10, 900);
        if (!s) continue;
        open.emplace_back(id, *s);
        if (*s == 3) sent.emplace_back(rig.now, 10);
      }
      for (const auto& [id, s] : open) rig.End(id, 0, s, Outcome::kOk, 5);
    }
    return sent;
  };
  run(20000);
  rig.List({Entry(3, 0, 0, BackendState::kReady, rig.now)},
           EndpointListKind::kDelta);  // the same id, started again
  const double start = rig.now;
  const auto sent = run(10000);
  double most = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    double window = 0;
    for (std::size_t k = i; k < sent.size() && sent[k].first - sent[i].first < 1000; ++k)
      window += sent[k].second;
    const double share = 0.25 + 0.75 * std::min(1.0, (sent[i].first - start + 1000) / 10000);
    most = std::max(most, window / (share * 1000));
  }
  EXPECT_LE(most, 1.9) << "of what a warm server was sent, times the cold share";
  EXPECT_GT(sent.size(), 100u) << "and it is brought back";
}

// Of what the rule allows a server that starts at `start` and has what a warm one of `cores` has: the largest
// share that the calls at `sent`, in order and each of `work`, take in any window of the settings.
double WorstShareOfSlowStart(const Settings& s, const std::vector<double>& sent, double start, double cores,
                             double work) {
  double worst = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    const double warmth = (sent[i] - start) / s.slow_start_window.count();
    if (warmth >= 1) break;
    while (sent[i] - sent[first] > s.overload_duration.count()) ++first;
    const double capacity = cores * (s.slow_start_floor + (1 - s.slow_start_floor) * warmth);
    const double allowed = s.overload_factor * capacity * s.overload_duration.count() / work;
    const double calls = static_cast<double>(i - first + 1);
    worst = std::max(worst, calls / (allowed + 2 * std::sqrt(allowed) + 2));
  }
  return worst;
}

// Proxies that start together, in the middle of a server's slow start, know nothing of what the others send,
// nor of what they sent themselves before. Each asks four times at once, all of them within half a second,
// and again once three warm servers of a core each are through with that. The largest share of what the rule
// allows the cold one.
double ManyStartTogether(int proxies, bool hinted) {
  Settings s = Usual();
  s.balancer_count = proxies;
  const double work = std::min(100.0, 3000.0 / proxies), started = 99500;
  const int period = static_cast<int>(proxies * 4 * work / 3) / 10;  // steps
  std::vector<Rig> rigs;
  for (int i = 0; i < proxies; ++i) {
    s.balancer_index = i;
    rigs.emplace_back(s, static_cast<std::uint64_t>(i) + 1);
    rigs.back().List({Entry(1), Entry(2), Entry(3), Entry(4, 0, 0, BackendState::kReady, started)});
  }
  std::vector<double> sent;
  for (int step = 0; step < 950; ++step) {
    for (int i = 0; i < proxies; ++i) {
      Rig& rig = rigs[static_cast<std::size_t>(i)];
      rig.Tick(10);
      if (step % period != i % std::min(50, period)) continue;
      std::vector<std::pair<RequestId, BackendId>> open;
      for (int k = 0; k < 4; ++k) {
        const RequestId id = next_id++;
        const auto server = rig.Ask(id, 2, hinted ? work : 0, 900);
        if (server) open.emplace_back(id, *server);
        if (server == 4u) sent.push_back(rig.now);
      }
      for (const auto& [id, server] : open) rig.End(id, 0, server, Outcome::kOk, work);
    }
  }
  EXPECT_GT(sent.size(), static_cast<std::size_t>(proxies) / 4) << proxies << " proxies bring it back";
  return WorstShareOfSlowStart(s, sent, started, 1, work);
}

TEST(ColdStart, ManyProxiesThatStartTogetherSendNoMoreThanTheServerBears) {
  for (const int proxies : {1, 5, 30, 300}) EXPECT_LE(ManyStartTogether(proxies, true), 1) << proxies;
}

// Where requests tell nothing of their work, it is counted in requests, and not in ms.
TEST(ColdStart, SoDoTheyWhereRequestsTellNothingOfTheirWork) {
  for (const int proxies : {1, 5, 30, 300}) EXPECT_LE(ManyStartTogether(proxies, false), 1) << proxies;
}

// An overloaded fleet is sent far more than it serves; the cold server's budget must follow what is served.
TEST(ColdStart, TheBudgetFollowsWhatWarmServersServe) {
  Settings s = Usual();
  s.max_attempts = 1;
  Rig rig(s);
  rig.List({Entry(1), Entry(2), Entry(3, 0, 0, BackendState::kReady, rig.now)});
  int sent = 0;
  for (int i = 0; i < 800; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    const auto server = rig.Ask(id, 2, 10, 900);
    if (!server) continue;
    sent += *server == 3;
    rig.End(id, 0, *server, i % 20 ? Outcome::kRejected : Outcome::kOk, 5);
  }
  EXPECT_LE(sent, 6) << "4 s, of a fleet that served 0.05 of 2 ms of work a ms";
}

TEST(ColdStart, RejectedWorkCountsToo) {
  Rig rig;
  rig.List({Entry(1, 0, 0, BackendState::kReady, 99999)});
  int sent = 0;
  for (int i = 0; i < 50; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 2000);
    if (s) ++sent, rig.End(id, 0, *s, Outcome::kRejected);
  }
  EXPECT_LE(sent, 2) << "nothing is known of warm servers: one mean request a window";
}

// What was withdrawn before it was sent has used up nothing of the budget, however often that is told; what
// the server turned away has.
TEST(ColdStart, WhatWasNeverSentIsGivenBackOnce) {
  for (const Outcome outcome : {Outcome::kNotSent, Outcome::kRejected}) {
    Settings s = Usual();
    s.max_attempts = 1;
    Rig rig(s);
    rig.List({Entry(1), Entry(2), Entry(3, 0, 0, BackendState::kReady, rig.now)});
    const auto cold = [&] { return rig.View(3); };
    RequestId at_cold = 0;
    for (int i = 0; at_cold == 0; ++i) {
      ASSERT_LT(i, 1000);
      rig.Tick(10);
      const RequestId id = next_id++;
      const auto server = rig.Ask(id, 2, 10, 900);
      if (server == 3u) {
        at_cold = id;
      } else if (server) {
        rig.End(id, 0, *server, Outcome::kOk, 5);
      }
    }
    EXPECT_EQ(cold().cold_sent, 10);
    EXPECT_EQ(cold().in_flight, 1);
    for (int twice = 0; twice < 2; ++twice) {
      rig.End(at_cold, 0, 3, outcome);
      EXPECT_EQ(cold().cold_sent, outcome == Outcome::kNotSent ? 0 : 10);
      EXPECT_EQ(cold().in_flight, 0);
    }
  }
}

// Where the budget is less than one request, one is sent in a while: one that was never sent is none.
TEST(ColdStart, WhatWasNeverSentDoesNotTakeTheTurnOfAnother) {
  const auto sent_of_two = [](Outcome first) {
    Settings s = Usual();
    s.max_attempts = 1;
    Rig rig(s);
    rig.List({Entry(1, 0, 0, BackendState::kReady, rig.now - 1)});
    const RequestId id = next_id++;
    const auto server = rig.Ask(id, 2, 10, 900);
    if (server) rig.End(id, 0, *server, first);
    return server.has_value() + rig.Ask(next_id++, 2, 10, 900).has_value();
  };
  EXPECT_EQ(sent_of_two(Outcome::kRejected), 1);
  EXPECT_EQ(sent_of_two(Outcome::kNotSent), 2);
}

TEST(ColdStart, AProxyThatKnowsNothingStillServes) {
  Rig rig;
  rig.List({Entry(1, 0, 0, BackendState::kReady, 99999), Entry(2, 0, 0, BackendState::kReady, 99999)});
  EXPECT_TRUE(rig.Ask(next_id++, 0).has_value());
}

// Whatever the rules allow after a failed call: a change is to be heard of within 6 s of discovery's return.
TEST(Discovery, AfterFailedCallsTheNextComesWithinTwoSeconds) {
  Settings s = Usual();
  s.polls_endpoint_list = true;
  s.max_poll_interval = Duration(40000);
  Rig rig(s);
  rig.List({Entry(1)}, EndpointListKind::kCached);
  for (int i = 0; i < 8; ++i) {
    rig.List({}, EndpointListKind::kFailed);
    double waited = 0;
    while (rig.Count<Subscribe>() == 0 && waited < 60000) rig.Tick(50), waited += 50;
    EXPECT_LE(waited, 2050) << i;
    EXPECT_GE(waited, 500) << "no storm of calls either";
  }
}

// Sends until one is held; how many went.
int Fill(Rig& rig, int cls) {
  int sent = 0;
  while (rig.Ask(next_id++, cls, 10, 5000)) ++sent;
  return sent;
}

TEST(Admission, HoldsBeyondTheLimitAndRefusesInTime) {
  Rig rig;
  rig.Servers(1);
  EXPECT_NEAR(Fill(rig, 2), 4.7, 0.9) << "1.5 a server, a deviation of that and two in a burst";
  double waited = 0;
  while (rig.Count<Reject>() == 0 && waited < 2000) rig.Tick(5), waited += 5;
  EXPECT_EQ(rig.Count<Reject>(), 1);
  EXPECT_LE(waited, 205) << "within the aim, not at the deadline";
}

// One that is refused after more than half of its time can do nothing with it.
TEST(Admission, WhatIsHeldIsRefusedInTheFirstHalfOfItsTime) {
  Rig rig;
  rig.List({});
  rig.Ask(1, 0, 10, 100);
  EXPECT_EQ(rig.Count<Reject>(), 0);
  rig.Tick(50);
  EXPECT_EQ(rig.Count<Reject>(), 1);
}

TEST(Admission, TheMostWorthGoesFirst) {
  Settings s = Usual();
  s.classes[2].priority_weight = 1;
  s.classes[0].priority_weight = 9;
  Rig rig(s);
  rig.Servers(1);
  const RequestId first = next_id;
  Fill(rig, 2);
  const RequestId poor = next_id++, rich = next_id++;
  EXPECT_FALSE(rig.Ask(poor, 2, 10, 5000).has_value());
  EXPECT_FALSE(rig.Ask(rich, 0, 10, 5000).has_value());
  for (RequestId id : {first, first + 1}) rig.End(id, 0, 1, Outcome::kOk, 10);
  std::vector<RequestId> order;
  for (const Dispatch& d : rig.sent) order.push_back(d.request);
  const auto rich_at = std::find(order.begin(), order.end(), rich);
  ASSERT_NE(rich_at, order.end());
  EXPECT_EQ(std::find(order.begin(), rich_at, poor), rich_at);
}

// A limit in work held back and refused one large request after another on a quiet day.
// Heavy tails: a few requests that cannot be in time whatever is done took the place of all others.
TEST(Admission, BeyondItsShareATenantComesLast) {
  Settings s = Usual();
  s.tenants = {{1}, {1}};
  s.over_quota_weight = 0.2;
  Rig rig(s);
  rig.Servers(1);
  auto ask = [&](RequestId id, int tenant) {
    Submit submit;
    submit.request = id;
    submit.tenant = tenant;
    submit.due = At(rig.now + 900);
    rig.Do(submit);
    return rig.SentTo(id).has_value();
  };
  EXPECT_TRUE(ask(9001, 0));  // takes the one request a second of its share
  RequestId beyond = 9002;
  while (ask(beyond, 0)) ASSERT_LT(++beyond, 9010u);
  EXPECT_FALSE(ask(9020, 1));
  rig.now += 1;
  EXPECT_FALSE(ask(9021, 0)) << "newer, but beyond its share";
  for (RequestId id : {9001u, 9002u}) rig.End(id, 0, 1, Outcome::kOk);
  ASSERT_GT(rig.sent.size(), beyond - 9001);
  EXPECT_EQ(rig.sent[beyond - 9001].request, 9020u) << "the first of the held to go";
}

// 65 servers that had just started tripled what was always in order, and the fleet was overdriven.
TEST(Admission, ColdServersRaiseTheFloorByTheirShareOnly) {
  Settings s = Usual();
  s.balancer_count = 2;
  Rig rig(s);
  std::vector<BackendEntry> list = {Entry(1), Entry(2)};
  for (BackendId id = 3; id <= 10; ++id) list.push_back(Entry(id, 0, 0, BackendState::kReady, rig.now));
  rig.List(list);
  for (int i = 0; i < 50; ++i) rig.Ask(next_id++, 0, 10, 900);
  EXPECT_NEAR(static_cast<double>(rig.sent.size()), 6.7, 0.9)
      << "2 + 8 x 0.25 servers, 1.5 each, of 2 proxies, a deviation and two; ten warm ones would make 12";
}

// Oldest first, an overloaded proxy would send only what has hardly any of its aim left.
TEST(Admission, OfEqualWorthTheNewestGoesFirst) {
  Rig rig;
  rig.Servers(1);
  const RequestId first = next_id;
  Fill(rig, 0);
  for (RequestId id : {601u, 602u}) {
    rig.Tick(10);
    EXPECT_FALSE(rig.Ask(id, 0, 10, 900).has_value());
  }
  rig.sent.clear();
  for (RequestId id = first; rig.sent.empty(); ++id) rig.End(id, 0, 1, Outcome::kOk, 20);
  EXPECT_EQ(rig.sent[0].request, 602u);
}

// A new proxy that floods the fleet before it knows any rate leaves queues that last far longer.
TEST(Admission, ANewProxyStartsFromLittle) {
  Settings s = Usual();
  s.balancer_count = 2;
  Rig rig(s);
  rig.Servers(4);
  for (int i = 0; i < 50; ++i) rig.Ask(next_id++, 0, 10, 900);
  EXPECT_NEAR(static_cast<double>(rig.sent.size()), 6.7, 0.9)
      << "1.5 a server, of 2 proxies; a deviation and two";
}

TEST(Admission, WhatIsTooLargeToBeInTimeIsRefusedAtOnce) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 100; ++i) {
    AnswerOne(rig, Outcome::kOk, {}, 15);
    rig.Tick(50);
  }
  rig.Ask(next_id++, 0, 1000, 900);
  EXPECT_EQ(rig.Count<Reject>(), 1) << "about 1500 ms of 900";
  rig.Ask(next_id++, 0, 100, 900);
  EXPECT_EQ(rig.Count<Dispatch>(), 1);
}

TEST(Admission, AHugeRequestIsNotShutOutByTheLimitOfTheProxy) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 100; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(50);
  }
  EXPECT_TRUE(rig.Ask(next_id++, 2, 150, 5000).has_value());
}

// A client's last try has what is left of its deadline. Served in its place, it was late for certain and made
// others late: 17 proxies answered a fifth of all requests after their aim (incidents i896537, ied95d3).
TEST(Admission, WhatHasPassedOfTheDeadlineHasPassedOfTheAim) {
  Settings settings = Usual();
  settings.max_retry_after = Duration(300);
  Rig rig(settings);
  rig.Servers(3);
  auto served = [&](double left, bool repeat = false) {
    Submit s;
    s.request = next_id++;
    s.request_class = 2;
    s.has_hint = true;
    s.work_ms = 10;
    s.due = At(rig.now + left);
    s.client_retry = repeat;
    rig.Do(s);
    const auto server = rig.SentTo(s.request);
    if (server) rig.End(s.request, 0, *server, Outcome::kOk);
    return server.has_value();
  };
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(served(i % 2 ? 600 : 500)) << "no usual time yet";
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(served(600));
  EXPECT_TRUE(served(900)) << "100 of its 1000 are gone, of an aim of 200";
  EXPECT_FALSE(served(780)) << "220 are";
  EXPECT_FALSE(served(600, true)) << "200 or so: half of what may have passed before a marked repeat";
  const auto* refused = std::get_if<Reject>(&rig.actions.front());
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(refused->retry_after.count(), 300) << "another try would be later still";
  EXPECT_TRUE(served(600));
}

// Clients' retries kept an overloaded fleet overloaded: every answer late, none refused.
TEST(Admission, AFleetSlowThroughoutGetsNoMoreThanItAnswersInTime) {
  Rig rig;
  rig.Servers(3);
  std::deque<std::tuple<double, RequestId, BackendId>> out;
  std::size_t most = 0;
  for (int i = 0; i < 2000; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    if (const auto s = rig.Ask(id, 2, 10, 900)) out.emplace_back(rig.now, id, *s);
    // The fleet answers one in 20 ms, the oldest first.
    if (i % 4 == 0 && !out.empty()) {
      const auto [at, oldest, server] = out.front();
      out.pop_front();
      rig.End(oldest, 0, server, Outcome::kOk, rig.now - at);
      for (const Dispatch& d : rig.sent) {
        if (std::none_of(out.begin(), out.end(),
                         [&](const auto& o) { return std::get<1>(o) == d.request; }) &&
            rig.SentTo(d.request))
          out.emplace_back(rig.now, d.request, d.server);
      }
    }
    if (i > 1000) most = std::max(most, out.size());
  }
  EXPECT_LE(most, 9u)
      << "0.05 a ms x a third of the aim of 200 ms, and its deviation, is 5; room for bursts 9";
}

// What arrives by chance is no overload: with few in flight a limit at their mean refused a tenth for
// nothing.
TEST(Admission, TheLimitLeavesRoomForBursts) {
  Settings settings = Usual();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  Rig rig(settings);
  rig.Servers(3);
  for (int i = 0; i < 4000; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(2);
  }
  EXPECT_NEAR(Fill(rig, 2), 25, 2)
      << "0.5 a ms x 3 x 10 ms is 15, a deviation of the fleet 4, one of this proxy 4, and two";
}

// The limit of a small proxy among hundreds is a fraction: two in flight each held twice what the fleet can
// do.
TEST(Admission, TheLimitOfASmallProxyIsAFraction) {
  Settings settings = Usual();
  settings.balancer_count = 30;
  int three = 0;
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    Rig rig(settings, seed);
    rig.Servers(3);
    const int sent = Fill(rig, 2);
    three += sent == 3;
    EXPECT_GE(sent, 2);
    EXPECT_LE(sent, 3);
  }
  EXPECT_GT(three, 10) << "1.5 x 3 servers of 30 proxies is 0.15, a deviation 0.39, and two: half of them";
  EXPECT_LT(three, 50);
}

// Two requests at a silent server kept a small proxy from sending anything for seconds.
TEST(Admission, OverdueAttemptsAreNotInFlight) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 100; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(20);
  }
  Fill(rig, 2);
  ASSERT_FALSE(rig.Ask(next_id++, 2, 10, 5000).has_value());
  const auto before = rig.sent.size();
  for (int i = 0; i < 4; ++i) rig.Tick(20);  // ten ms is what these take
  EXPECT_GT(rig.sent.size(), before) << "what was held goes";
}

// Long aims let queues grow until servers choked on them; a fleet in that state did a fifth of its work.
TEST(Admission, LongAimsDoNotCrowdServers) {
  Settings settings = Usual();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  Rig rig(settings);
  rig.Servers(3);
  for (int i = 0; i < 200; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(20);
  }
  for (int i = 0; i < 40; ++i) rig.Ask(next_id++, 2, 10, 5000);
  const auto out = rig.sent.size() - 200;
  EXPECT_NEAR(static_cast<double>(out), 8.6, 1)
      << "1.5 a server, a deviation and two; a third of the aim would be 16, and 22";
}

TEST(Logs, FewLinesEachNamingServerAndReason) {
  Rig rig;
  std::vector<std::string> lines;
  auto note = [&] {
    for (const Action& a : rig.actions)
      if (const auto* log = std::get_if<Log>(&a)) lines.push_back(log->text);
  };
  for (int i = 0; i < 5; ++i) {
    rig.Ask(next_id++, 0, 10, -50);  // due in the past
    note();
  }
  ASSERT_EQ(lines.size(), 1u) << "others within ten seconds are not told";
  EXPECT_NE(lines[0].find("refusing: not in time"), std::string::npos) << lines[0];
  rig.now += 100;
  rig.List({Entry(1, 0, 0, BackendState::kReady, rig.now)});
  for (int i = 0; i < 10; ++i) {
    rig.Ask(next_id++);
    note();
  }
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_NE(lines[1].find("server 1 held back: cold, at 25%"), std::string::npos) << lines[1];
}

TEST(BadInput, IsIgnoredOrRefused) {
  const double inf = std::numeric_limits<double>::infinity(), nan = std::numeric_limits<double>::quiet_NaN();
  Rig rig;
  EXPECT_FALSE(rig.Ask(1, 0).has_value()) << "no list yet: held";
  rig.List({});
  rig.End(77, 0, 1, Outcome::kOk);
  rig.Do(ClientDisconnected{77});
  rig.Do(StreamStarted{77, 0});
  rig.Servers(1);
  EXPECT_EQ(rig.SentTo(1), BackendId{1}) << "held ones go once a server is listed";
  rig.End(1, 9, 1, Outcome::kOk);
  rig.End(1, -1, 1, Outcome::kOk);
  rig.Ask(1, 0);
  EXPECT_FALSE(rig.SentTo(1).has_value()) << "a duplicate id";
  rig.Ask(2, 99);
  EXPECT_EQ(rig.Count<Reject>(), 1) << "an unknown class";
  rig.Ask(3, 0, 10, -50);
  EXPECT_EQ(rig.Count<Reject>(), 1) << "due in the past";
  for (double work : {0.0, -5.0, inf, nan, 1e300}) {
    const RequestId id = 100 + next_id++;
    Submit s;
    s.request = id;
    s.due = At(rig.now + 500);
    s.has_hint = true;
    s.work_ms = work;
    s.tenant = 4000;
    rig.Do(s);
    ASSERT_TRUE(rig.SentTo(id).has_value()) << work;
    AttemptEnded e;
    e.request = id;
    e.server = 1;
    e.outcome = Outcome::kOk;
    e.settled = true;
    e.took = Duration(nan);
    rig.Do(e);
  }
  EXPECT_TRUE(rig.Ask(next_id + 1000, 0).has_value());
}

TEST(Determinism, SameEventsSameActions) {
  Rig a(Usual(), 7), b(Usual(), 7);
  for (Rig* rig : {&a, &b}) {
    rig->Servers(5);
    for (RequestId id = 1; id <= 200; ++id) {
      const auto s = rig->Ask(id, static_cast<int>(id % 3));
      rig->Tick(3);
      if (s && id % 4) rig->End(id, 0, *s, id % 5 ? Outcome::kOk : Outcome::kError);
    }
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].server, b.sent[i].server);
}

}  // namespace
}  // namespace badgerbridge::balancer
