// SPDX-License-Identifier: Apache-2.0
#include "request_table/request_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

#include "harness.h"

namespace badgerbridge::request_table {
namespace {

using namespace balancer;
using balancer::testing::At;
using balancer::testing::Entry;
using balancer::testing::Usual;

// Whether an attempt that ended so may have had an effect (the protocol's table of outcomes).
bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kRejected && outcome != Outcome::kConnectFailed && outcome != Outcome::kNotSent;
}

// An exchange, the world round it, and the rules that both must keep, checked at each step.
class World {
 public:
  World(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), exchange_(settings_, seed) {}

  struct Request {
    int request_class = 0;
    TimePoint due{};
    int attempts = 0, answers = 0;
    bool out = false, may_have_run = false, left = false, withdrawn = false;
    int cell = 0;
    TimePoint first_run{};
    Ending ending = Ending::kFailed;
  };

  double now = 100000;
  std::map<RequestId, Request> requests;
  std::vector<Send> out;  // attempts that have not ended
  std::map<BackendId, BackendEntry> servers;
  int sends = 0, again = 0, cancels = 0, answers = 0, withdrawn = 0;

  RequestId Take(int request_class, double patience, std::uint64_t key = 0) {
    Submit submit;
    submit.request_class = request_class;
    submit.due = At(now + patience);
    submit.key = key;
    submit.has_hint = true;
    submit.work_ms = 10;
    Actions actions;
    // Actions on it may come with the call that gives its number.
    Request request;
    request.request_class = request_class;
    request.due = submit.due;
    const RequestId id = next_++;
    requests[id] = request;
    EXPECT_EQ(exchange_.Take(At(now), submit, &actions), id);
    Check(actions);
    return id;
  }
  void Gone(RequestId id) {
    Actions actions;
    if (requests.at(id).answers == 0) requests.at(id).left = true;
    exchange_.Gone(At(now), id, &actions);
    Check(actions);
  }
  void End(std::size_t which, Outcome outcome) {
    const Send send = out.at(which);
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(which));
    Request& request = requests.at(send.request);
    request.out = request.withdrawn = false;
    if (MayHaveRun(outcome) && !request.may_have_run) {
      request.may_have_run = true;
      request.first_run = send.at;
      request.cell = servers.at(send.server).cell;
    }
    Actions actions;
    exchange_.Ended(At(now), send, outcome, &actions);
    if (outcome == Outcome::kOk && !request.left && request.answers == 0) {
      ASSERT_FALSE(actions.empty());
      const auto* answer = std::get_if<Answer>(&actions.front());
      ASSERT_TRUE(answer && answer->request == send.request && answer->ending == Ending::kServed);
    }
    Check(actions);
  }
  void List(const BackendEntry& entry) {
    servers[entry.server] = entry;
    Actions actions;
    exchange_.List(At(now), {EndpointListKind::kDelta, {entry}}, &actions);
    Check(actions);
  }
  void Wake() {
    Actions actions;
    exchange_.Wake(At(now), &actions);
    Check(actions);
  }
  std::optional<TimePoint> NextWake() const { return exchange_.NextWake(); }
  const Exchange& exchange() const { return exchange_; }

 private:
  using Actions = Exchange::Actions;

  void Check(const Actions& actions) {
    for (const Action& action : actions) std::visit([this](const auto& a) { Note(a); }, action);
    std::size_t open = 0;
    for (const Tally& t : exchange_.tallies()) {
      EXPECT_EQ(t.taken, t.served + t.refused + t.failed + t.open);
      EXPECT_GE(t.failed, t.client_left + t.last_resort);
      open += t.open;
    }
    EXPECT_EQ(open, exchange_.open());
    for (const auto& [id, request] : requests) {
      EXPECT_EQ(exchange_.IsOpen(id), request.answers == 0 && !request.left) << id;
      // What is out of a request that is over has been withdrawn, once, and of no other.
      EXPECT_EQ(request.out && !exchange_.IsOpen(id), request.withdrawn) << id;
      if (exchange_.IsOpen(id)) {
        EXPECT_LT(now, request.due.time_since_epoch().count()) << id;
      }
    }
  }
  void Note(const Send& send) {
    ++sends, again += send.attempt > 0;
    Request& request = requests.at(send.request);
    const ClassSettings& settings = settings_.classes[static_cast<std::size_t>(request.request_class)];
    EXPECT_FALSE(request.out) << "one attempt out at a time";
    EXPECT_EQ(request.answers, 0) << "nothing more is sent for what has its answer";
    EXPECT_EQ(send.attempt, request.attempts);
    EXPECT_LT(send.attempt, settings_.max_attempts);
    EXPECT_GT(send.timeout.count(), 0);
    EXPECT_LT(At(now) + send.timeout, request.due);
    EXPECT_EQ(send.at, At(now));
    EXPECT_EQ(servers.at(send.server).state, BackendState::kReady);
    if (request.may_have_run) {
      EXPECT_NE(settings.effect, Idempotency::kNotIdempotent);
      if (settings.effect == Idempotency::kIdempotencyKey) {
        EXPECT_EQ(servers.at(send.server).cell, request.cell);
        EXPECT_LE(At(now) - request.first_run, settings.window);
        EXPECT_LE(send.begin_before - request.first_run, settings.window);
        EXPECT_LT(At(now), send.begin_before);
      }
    }
    if (!request.may_have_run || settings.effect == Idempotency::kIdempotent) {
      EXPECT_EQ(send.begin_before, TimePoint::max());
    }
    request.out = true;
    ++request.attempts;
    out.push_back(send);
  }
  void Note(const Cancel& cancel) {
    ++cancels;
    EXPECT_EQ(cancel.attempt, requests.at(cancel.request).attempts - 1);
  }
  void Note(const Withdraw& withdraw) {
    ++withdrawn;
    Request& request = requests.at(withdraw.request);
    EXPECT_TRUE(request.out);
    EXPECT_FALSE(request.withdrawn);
    EXPECT_EQ(withdraw.attempt, request.attempts - 1);
    request.withdrawn = true;
  }
  void Note(const Answer& answer) {
    ++answers;
    Request& request = requests.at(answer.request);
    EXPECT_EQ(++request.answers, 1);
    EXPECT_FALSE(request.left);
    EXPECT_LT(At(now), request.due);
    request.ending = answer.ending;
    if (answer.ending != Ending::kRefused) return;
    EXPECT_FALSE(request.out && settings_.classes[static_cast<std::size_t>(request.request_class)].effect ==
                                    Idempotency::kNotIdempotent);
    if (settings_.classes[static_cast<std::size_t>(request.request_class)].effect ==
        Idempotency::kNotIdempotent) {
      EXPECT_FALSE(request.may_have_run) << "a refusal says that trying again is harmless";
    }
  }
  void Note(const Subscribe&) {}
  void Note(const Log&) {}

  Settings settings_;
  Exchange exchange_;
  RequestId next_ = 1;
};

void Fill(World& world, int servers) {
  for (int i = 1; i <= servers; ++i) world.List(Entry(static_cast<BackendId>(i), 0, i % 2));
}

TEST(Exchange, AnAnswerServesAndNothingFollows) {
  World world(Usual(), 1);
  Fill(world, 2);
  const RequestId id = world.Take(2, 500);
  ASSERT_EQ(world.out.size(), 1u);
  EXPECT_EQ(world.out[0].timeout, Duration(500) - kAnswerMargin);
  world.now += 20;
  world.End(0, Outcome::kOk);
  EXPECT_EQ(world.requests[id].ending, Ending::kServed);
  EXPECT_EQ(world.exchange().tallies()[2].served, 1u);
}

// All that can happen at one moment, in each order of it: the rules hold, and the request has one end.
TEST(Exchange, AtTheSameInstantEveryOrderIsSound) {
  for (const int request_class : {0, 1, 2}) {
    for (const Outcome outcome :
         {Outcome::kOk, Outcome::kError, Outcome::kReset, Outcome::kRejected, Outcome::kTimeout}) {
      for (const bool to_the_last : {false, true}) {
        std::array<int, 4> order = {0, 1, 2, 3};
        do {
          SCOPED_TRACE(::testing::Message()
                       << "class " << request_class << " outcome " << static_cast<int>(outcome) << " order "
                       << order[0] << order[1] << order[2] << order[3]);
          World world(Usual(), 7);
          Fill(world, 2);
          const RequestId id = world.Take(request_class, 300);
          ASSERT_EQ(world.out.size(), 1u);
          const BackendId server = world.out[0].server;
          // The last resort's own moment, or one at which another attempt still has time.
          world.now += to_the_last ? 300 - kLastResortMargin.count() : 40;
          for (const int what : order) {
            if (what == 0) world.End(0, outcome);
            if (what == 1)
              world.List(Entry(server, 0, world.servers.at(server).cell, BackendState::kDraining));
            if (what == 2) world.Gone(id);
            if (what == 3) world.Wake();
          }
          EXPECT_EQ(world.requests[id].answers + world.requests[id].left, 1);
          EXPECT_EQ(world.exchange().open(), 0u);
        } while (std::next_permutation(order.begin(), order.end()));
      }
    }
  }
}

TEST(Exchange, WhatTheModuleDoesNotEndTheLastResortEnds) {
  World world(Usual(), 3);
  Fill(world, 1);
  const RequestId id = world.Take(2, 200);
  ASSERT_EQ(world.out.size(), 1u);
  world.now += 200 - kLastResortMargin.count();  // the attempt's end is told by nobody
  world.Wake();
  EXPECT_EQ(world.requests[id].ending, Ending::kLastResort);
  EXPECT_EQ(world.exchange().tallies()[2].last_resort, 1u);
  world.End(0, Outcome::kOk);  // too late: nothing more is said
  EXPECT_EQ(world.answers, 1);
}

// Its connection may still be coming up: the client has left by then, or has its answer.
TEST(Exchange, WhatIsOutOfARequestThatIsOverIsWithdrawn) {
  for (const int request_class : {0, 1, 2}) {
    World world(Usual(), 3);
    Fill(world, 1);
    const RequestId left = world.Take(request_class, 500);
    const RequestId kept = world.Take(request_class, 500);
    const RequestId late = world.Take(request_class, 200);
    ASSERT_EQ(world.out.size(), 3u);
    world.Gone(left);
    EXPECT_EQ(world.withdrawn, 1);
    world.Gone(left);
    world.End(0, Outcome::kNotSent);
    EXPECT_EQ(world.withdrawn, 1);
    world.now += 200 - kLastResortMargin.count();
    world.Wake();
    EXPECT_EQ(world.requests[late].ending, Ending::kLastResort);
    EXPECT_EQ(world.withdrawn, 2);
    world.End(0, Outcome::kOk);
    EXPECT_EQ(world.requests[kept].ending, Ending::kServed);
    EXPECT_EQ(world.withdrawn, 2) << "what has ended is not withdrawn";
  }
}

// A keyed repeat says until when it may begin, which is within the time that its group remembers the key from
// the first attempt that may have run; where there is no such time, it is not sent.
TEST(Exchange, AKeyedRepeatMustBeginWithinTheWindow) {
  for (const double window : {0.0, 100.0, 10000.0}) {
    Settings settings = Usual();
    settings.classes[1].window = Duration(window);
    World world(settings, 3);
    world.List(Entry(1, 0, 0));
    world.List(Entry(2, 0, 0));
    const RequestId id = world.Take(1, 30000);
    ASSERT_EQ(world.out.size(), 1u);
    const TimePoint first = world.out[0].at;
    EXPECT_EQ(world.out[0].begin_before, TimePoint::max()) << "nothing may have run yet";
    if (window > 0) world.now += 20;
    world.End(0, Outcome::kReset);
    if (window == 0) {
      EXPECT_TRUE(world.out.empty());
      EXPECT_EQ(world.requests[id].answers, 1);
      continue;
    }
    ASSERT_EQ(world.out.size(), 1u);
    EXPECT_GT(world.out[0].begin_before, At(world.now));
    EXPECT_LT(world.out[0].begin_before, first + Duration(window));
    world.now += window;  // its connection takes its time
    world.End(0, Outcome::kConnectFailed);
    EXPECT_TRUE(world.out.empty());
    EXPECT_EQ(world.requests[id].answers, 1);
  }
}

TEST(Exchange, WithNoTimeLeftNothingIsSent) {
  for (const double patience : {0.0, 1.0, 4.9, 5.0}) {
    World world(Usual(), 3);
    Fill(world, 2);
    Submit submit;
    submit.due = At(world.now + patience);
    Exchange exchange(Usual(), 1);
    Exchange::Actions actions;
    exchange.List(At(world.now), {EndpointListKind::kFull, {Entry(1), Entry(2)}}, &actions);
    const RequestId id = exchange.Take(At(world.now), submit, &actions);
    for (const Action& action : actions) EXPECT_FALSE(std::holds_alternative<Send>(action)) << patience;
    if (exchange.IsOpen(id)) exchange.Wake(At(world.now + patience), &actions);
    EXPECT_FALSE(exchange.IsOpen(id)) << patience;
  }
}

TEST(Exchange, AttemptsAreBounded) {
  Settings settings = Usual();
  settings.max_attempts = 9;
  World world(settings, 5);
  Fill(world, 8);
  for (int i = 0; i < 50; ++i) {
    const RequestId id = world.Take(0, 900);
    while (!world.out.empty()) {
      world.now += 1;
      world.End(0, Outcome::kConnectFailed);
    }
    world.now += 900;
    world.Wake();
    EXPECT_EQ(world.requests[id].answers, 1);
    EXPECT_LE(world.requests[id].attempts, 4);
  }
}

// 240,000 steps: whatever comes in whatever order, the invariants of the header and the rules hold.
TEST(Exchange, RandomSchedulesKeepTheRules) {
  int sends = 0, cancels = 0, again = 0, last_resorts = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint64_t n) { return static_cast<int>(random() % n); };
    Settings settings = Usual();
    settings.max_attempts = 1 + draw(4);
    if (seed % 3 == 0) settings.max_retry_after = Duration(600);
    World world(settings, seed);
    Fill(world, 6);
    for (int step = 0; step < 4000; ++step) {
      const int what = draw(100);
      if (what < 25) {
        world.Take(draw(3), draw(10) == 0 ? 1 + draw(8) : 20 + draw(900), draw(3) == 0 ? draw(20) : 0);
      } else if (what < 65 && !world.out.empty()) {
        constexpr Outcome kEnds[] = {Outcome::kOk,        Outcome::kOk,
                                     Outcome::kOk,        Outcome::kOk,
                                     Outcome::kError,     Outcome::kRejected,
                                     Outcome::kNotSent,   Outcome::kTimeout,
                                     Outcome::kReset,     Outcome::kConnectFailed,
                                     Outcome::kCancelled, Outcome::kUnknown};
        world.End(static_cast<std::size_t>(draw(world.out.size())), kEnds[draw(std::size(kEnds))]);
      } else if (what < 68 && !world.requests.empty()) {
        auto at = world.requests.begin();
        std::advance(at, draw(world.requests.size()));
        world.Gone(at->first);
      } else if (what < 71) {
        auto server = static_cast<BackendId>(1 + draw(8));
        const int state = draw(4);
        world.List(Entry(server, 0, static_cast<int>(server % 2),
                         state == 0   ? BackendState::kGone
                         : state == 1 ? BackendState::kDraining
                                      : BackendState::kReady,
                         draw(3) == 0 ? world.now - draw(12000) : 0));
      } else {
        // Time passes, to the next wake at the most; sometimes beyond it, as on a busy machine.
        const auto wake = world.NextWake();
        const double until = wake ? std::max(world.now, wake->time_since_epoch().count()) : world.now + 5;
        world.now = draw(8) == 0 ? until : std::min(until, world.now + draw(30));
        if (wake && world.now >= wake->time_since_epoch().count()) world.Wake();
      }
      if (::testing::Test::HasFailure()) FAIL() << "seed " << seed << " step " << step;
      if (step % 200 == 199)
        std::erase_if(world.requests, [&](const auto& r) {
          return (r.second.answers > 0 || r.second.left) &&
                 std::none_of(world.out.begin(), world.out.end(),
                              [&](const Send& s) { return s.request == r.first; });
        });
    }
    // It ends: what is out ends, time passes, and nothing is open.
    while (!world.out.empty()) world.End(0, Outcome::kReset);
    for (int i = 0; i < 3000 && world.exchange().open() > 0; ++i) {
      world.now = std::max(world.now, world.NextWake()->time_since_epoch().count());
      world.Wake();
      while (!world.out.empty()) world.End(0, Outcome::kConnectFailed);
    }
    EXPECT_EQ(world.exchange().open(), 0u);
    sends += world.sends, again += world.again, cancels += world.cancels;
    for (const Tally& t : world.exchange().tallies()) last_resorts += static_cast<int>(t.last_resort);
  }
  // The schedules do reach what is checked.
  EXPECT_GT(sends, 20000);
  EXPECT_GT(cancels, 0);
  EXPECT_GT(again, 1000);
  EXPECT_GT(last_resorts, 10);
}

}  // namespace
}  // namespace badgerbridge::request_table
