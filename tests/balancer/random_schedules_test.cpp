// SPDX-License-Identifier: Apache-2.0
//
// Random but legal rounds of events, fixed seeds, checked by a small oracle of the four rules that shares no
// code with the module.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::At;
using testing::Entry;
using testing::Usual;

struct SentAttempt {
  BackendId server;
  double sent_at;
  double ends_at;
  Outcome outcome;
  bool out = true;
};
struct Open {
  int cls;
  double due;
  std::vector<SentAttempt> attempts;
  int finals = 0;
};

class World {
 public:
  World(Settings settings, std::uint64_t seed) : settings_(settings), rng_(seed), balancer_(settings, seed) {
    for (BackendId id = 1; id <= 8; ++id) servers_[id] = Entry(id, id % 2, id % 3);
  }

  void Play() {
    Push(EndpointListKind::kCached, All());
    for (now_ = 1000; now_ < 9000; now_ += 1 + Roll(8)) {
      if (now_ > 7000) {
        Step(false);
      } else {
        Step(true);
      }
    }
    now_ += 5000;
    Step(false);
    for (const auto& [id, request] : open_) EXPECT_EQ(request.finals, 1) << "request " << id;
  }
  std::size_t attempts = 0;

 private:
  int Roll(int n) { return static_cast<int>(rng_() % static_cast<unsigned>(n)); }

  std::vector<BackendEntry> All() const {
    std::vector<BackendEntry> all;
    for (const auto& [id, endpoint] : servers_) all.push_back(endpoint);
    return all;
  }

  void Push(EndpointListKind kind, std::vector<BackendEntry> entries) {
    Do(EndpointListUpdate{kind, std::move(entries)});
  }

  void Step(bool load) {
    // Timers, attempts that end and arrivals of one batch, in a random order.
    std::vector<int> order = {0, 1, 2, 3};
    std::shuffle(order.begin(), order.end(), rng_);
    for (int what : order) {
      while (what == 0 && !timers_.empty() && *timers_.begin() <= now_) {
        timers_.erase(timers_.begin());
        Do(TimerFired{});
      }
      if (what == 1) EndAttempts();
      if (what == 2 && load) {
        for (int k = Roll(4); k > 0; --k) Arrive();
      }
      if (what == 3 && Roll(20) == 0) ChangeList();
    }
    for (auto& [id, request] : open_) {
      if (request.finals == 0 && request.due + 20 < now_)
        ADD_FAILURE() << "request " << id << " due " << request.due << " has no answer at " << now_;
    }
  }

  void Arrive() {
    Submit submit;
    submit.request = ++last_id_;
    submit.request_class = Roll(3);
    submit.due = At(now_ + 30 + Roll(700));
    submit.has_hint = Roll(3) > 0;
    submit.work_ms = 1 + Roll(60);
    open_[submit.request] = Open{submit.request_class, submit.due.time_since_epoch().count(), {}};
    Do(submit);
  }

  void ChangeList() {
    const BackendId id = 1 + static_cast<BackendId>(Roll(8));
    BackendEntry& endpoint = servers_[id];
    endpoint.state = static_cast<BackendState>(Roll(3));
    if (endpoint.state == BackendState::kReady && Roll(2)) endpoint.up_since = At(now_);
    Push(Roll(5) ? EndpointListKind::kDelta : EndpointListKind::kFull,
         Roll(5) ? std::vector<BackendEntry>{endpoint} : All());
  }

  void EndAttempts() {
    std::vector<std::pair<RequestId, int>> ended;
    for (auto& [id, request] : open_) {
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (request.attempts[i].out && request.attempts[i].ends_at <= now_)
          ended.emplace_back(id, static_cast<int>(i));
      }
    }
    std::shuffle(ended.begin(), ended.end(), rng_);
    for (const auto& [id, i] : ended) {
      Open& request = open_[id];
      SentAttempt& attempt = request.attempts[static_cast<std::size_t>(i)];
      attempt.out = false;
      if (attempt.outcome == Outcome::kOk && request.finals == 0) request.finals = 1;
      AttemptEnded event;
      event.request = id;
      event.attempt = i;
      event.server = attempt.server;
      event.outcome = attempt.outcome;
      event.settled = request.finals > 0;
      event.took = Duration(now_ - attempt.sent_at);
      Do(event);
    }
  }

  void Do(const Event& event) {
    // The lists that the instance was told decide about drains.
    if (const auto* list = std::get_if<EndpointListUpdate>(&event)) {
      if (list->kind != EndpointListKind::kDelta) told_.clear();
      for (const BackendEntry& endpoint : list->entries) told_[endpoint.server] = endpoint;
    }
    std::vector<Action> actions;
    balancer_.Handle(At(now_), event, &actions);
    for (const Action& action : actions) Judge(action);
  }

  static bool NeverRan(const SentAttempt& attempt) {
    return !attempt.out &&
           (attempt.outcome == Outcome::kRejected || attempt.outcome == Outcome::kConnectFailed ||
            attempt.outcome == Outcome::kNotSent);
  }

  ClassSettings ClassOf(const Open& request) const {
    return settings_.classes[static_cast<std::size_t>(request.cls)];
  }

  // The rules of idempotency, of one attempt at a time and of drains.
  void CheckDispatch(const Dispatch& dispatch, const Open& request) {
    EXPECT_EQ(request.finals, 0) << "sent after its final answer";
    EXPECT_LT(static_cast<int>(request.attempts.size()), settings_.max_attempts);
    EXPECT_TRUE(told_.count(dispatch.server) && told_[dispatch.server].state == BackendState::kReady)
        << "drain";
    const Idempotency effect = ClassOf(request).effect;
    for (const SentAttempt& attempt : request.attempts) {
      EXPECT_TRUE(!attempt.out) << "two at once";
      if (NeverRan(attempt)) continue;
      EXPECT_NE(effect, Idempotency::kNotIdempotent) << "an effect twice";
      if (effect == Idempotency::kIdempotencyKey) {
        EXPECT_EQ(servers_[attempt.server].cell, servers_[dispatch.server].cell);
        EXPECT_LE(now_ - attempt.sent_at, ClassOf(request).window.count());
      }
    }
  }

  void Send(const Dispatch& dispatch, Open& request) {
    SentAttempt attempt{dispatch.server, now_, now_ + Roll(400), static_cast<Outcome>(Roll(9))};
    const double timeout =
        dispatch.timeout.count() > 0 ? std::min(now_ + dispatch.timeout.count(), request.due) : request.due;
    if (attempt.ends_at > timeout) {
      attempt.ends_at = timeout;
      attempt.outcome = Outcome::kTimeout;
    }
    request.attempts.push_back(attempt);
  }

  void Judge(const Action& action) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      ++attempts;
      Open& request = open_.at(dispatch->request);
      CheckDispatch(*dispatch, request);
      Send(*dispatch, request);
    } else if (const auto* refuse = std::get_if<Reject>(&action)) {
      Open& request = open_.at(refuse->request);
      EXPECT_EQ(++request.finals, 1);
      for (const SentAttempt& attempt : request.attempts) {
        EXPECT_TRUE(NeverRan(attempt) || ClassOf(request).effect == Idempotency::kIdempotent)
            << "rejected though it may have run";
      }
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
      EXPECT_EQ(++open_.at(fail->request).finals, 1);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.insert(std::max(now_ + 1, timer->at.time_since_epoch().count()));
    }
  }

  Settings settings_;
  std::mt19937_64 rng_;
  Balancer balancer_;
  double now_ = 500;
  std::multiset<double> timers_;
  RequestId last_id_ = 0;
  std::map<BackendId, BackendEntry> servers_, told_;
  std::map<RequestId, Open> open_;
};

TEST(RandomSchedules, LegalEvents_RulesOfAttemptsAreKept) {
  std::size_t attempts = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    Settings settings = Usual();
    settings.max_attempts = 1 + static_cast<int>(seed % 5);
    settings.tenants = {{10}, {10}};
    settings.over_quota_weight = 0.2;
    World world(settings, seed);
    world.Play();
    attempts += world.attempts;
  }
  EXPECT_GT(attempts, 2000u) << "the rounds must exercise something";
}

}  // namespace
}  // namespace badgerbridge::balancer
