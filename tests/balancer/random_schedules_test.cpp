// SPDX-License-Identifier: Apache-2.0
//
// Runs random valid event sequences with fixed seeds. An independent model of the rules of attempts, which
// shares no code with the module, checks each action.
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
using testing::ThreeClassSettings;

struct SentAttempt {
  BackendId server;
  double sent_at;
  double ends_at;
  Outcome outcome;
  bool outstanding = true;
};
struct OpenRequest {
  int request_class;
  double due;
  std::vector<SentAttempt> attempts;
  int finals = 0;
};

class RandomSchedule {
 public:
  RandomSchedule(Settings settings, std::uint64_t seed)
      : settings_(settings), rng_(seed), balancer_(settings, seed) {
    for (BackendId id = 1; id <= 8; ++id) backends_[id] = Entry(id, id % 2, id % 3);
  }

  void Run() {
    UpdateEndpoints(EndpointListKind::kCached, FullList());
    for (now_ = 1000; now_ < 9000; now_ += 1 + RandomBelow(8)) {
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
  int RandomBelow(int n) { return static_cast<int>(rng_() % static_cast<unsigned>(n)); }

  std::vector<BackendEntry> FullList() const {
    std::vector<BackendEntry> all;
    for (const auto& [id, endpoint] : backends_) all.push_back(endpoint);
    return all;
  }

  void UpdateEndpoints(EndpointListKind kind, std::vector<BackendEntry> entries) {
    Handle(EndpointListUpdate{kind, std::move(entries)});
  }

  void Step(bool submits_requests) {
    // Timers, ends of attempts, arrivals and list changes of a step, in random order.
    std::vector<int> order = {0, 1, 2, 3};
    std::shuffle(order.begin(), order.end(), rng_);
    for (int kind : order) {
      while (kind == 0 && !timers_.empty() && *timers_.begin() <= now_) {
        timers_.erase(timers_.begin());
        Handle(TimerFired{});
      }
      if (kind == 1) EndAttempts();
      if (kind == 2 && submits_requests) {
        for (int k = RandomBelow(4); k > 0; --k) SubmitRandomRequest();
      }
      if (kind == 3 && RandomBelow(20) == 0) ChangeList();
    }
    for (auto& [id, request] : open_) {
      if (request.finals == 0 && request.due + 20 < now_)
        ADD_FAILURE() << "request " << id << " due " << request.due << " has no answer at " << now_;
    }
  }

  void SubmitRandomRequest() {
    Submit submit;
    submit.request = ++last_id_;
    submit.request_class = RandomBelow(3);
    submit.due = At(now_ + 30 + RandomBelow(700));
    submit.has_hint = RandomBelow(3) > 0;
    submit.work_ms = 1 + RandomBelow(60);
    open_[submit.request] = OpenRequest{submit.request_class, submit.due.time_since_epoch().count(), {}};
    Handle(submit);
  }

  void ChangeList() {
    const BackendId id = 1 + static_cast<BackendId>(RandomBelow(8));
    BackendEntry& endpoint = backends_[id];
    endpoint.state = static_cast<BackendState>(RandomBelow(3));
    if (endpoint.state == BackendState::kReady && RandomBelow(2)) endpoint.up_since = At(now_);
    const std::vector<BackendEntry> entries =
        RandomBelow(5) ? std::vector<BackendEntry>{endpoint} : FullList();
    UpdateEndpoints(RandomBelow(5) ? EndpointListKind::kDelta : EndpointListKind::kFull, entries);
  }

  void EndAttempts() {
    std::vector<std::pair<RequestId, int>> ended;
    for (auto& [id, request] : open_) {
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (request.attempts[i].outstanding && request.attempts[i].ends_at <= now_)
          ended.emplace_back(id, static_cast<int>(i));
      }
    }
    std::shuffle(ended.begin(), ended.end(), rng_);
    for (const auto& [id, i] : ended) {
      OpenRequest& request = open_[id];
      SentAttempt& attempt = request.attempts[static_cast<std::size_t>(i)];
      attempt.outstanding = false;
      if (attempt.outcome == Outcome::kOk && request.finals == 0) request.finals = 1;
      AttemptEnded event;
      event.request = id;
      event.attempt = i;
      event.server = attempt.server;
      event.outcome = attempt.outcome;
      event.settled = request.finals > 0;
      event.took = Duration(now_ - attempt.sent_at);
      Handle(event);
    }
  }

  void Handle(const Event& event) {
    // Drains are checked against the lists delivered so far.
    if (const auto* list = std::get_if<EndpointListUpdate>(&event)) {
      if (list->kind != EndpointListKind::kDelta) listed_.clear();
      for (const BackendEntry& endpoint : list->entries) listed_[endpoint.server] = endpoint;
    }
    std::vector<Action> actions;
    balancer_.Handle(At(now_), event, &actions);
    for (const Action& action : actions) CheckAction(action);
  }

  static bool NeverRan(const SentAttempt& attempt) {
    return !attempt.outstanding &&
           (attempt.outcome == Outcome::kRejected || attempt.outcome == Outcome::kConnectFailed ||
            attempt.outcome == Outcome::kNotSent);
  }

  ClassSettings ClassOf(const OpenRequest& request) const {
    return settings_.classes[static_cast<std::size_t>(request.request_class)];
  }

  // Checks the rules of idempotency, of one outstanding attempt at a time and of drains.
  void CheckDispatch(const Dispatch& dispatch, const OpenRequest& request) {
    EXPECT_EQ(request.finals, 0) << "sent after its final answer";
    EXPECT_LT(static_cast<int>(request.attempts.size()), settings_.max_attempts);
    EXPECT_TRUE(listed_.count(dispatch.server) && listed_[dispatch.server].state == BackendState::kReady)
        << "drain";
    const Idempotency effect = ClassOf(request).idempotency;
    for (const SentAttempt& attempt : request.attempts) {
      EXPECT_TRUE(!attempt.outstanding) << "two attempts outstanding";
      if (NeverRan(attempt)) continue;
      EXPECT_NE(effect, Idempotency::kNotIdempotent) << "may be processed twice";
      if (effect == Idempotency::kIdempotencyKey) {
        EXPECT_EQ(backends_[attempt.server].cell, backends_[dispatch.server].cell);
        EXPECT_LE(now_ - attempt.sent_at, ClassOf(request).deduplication_window.count());
      }
    }
  }

  void RecordDispatch(const Dispatch& dispatch, OpenRequest& request) {
    SentAttempt attempt{dispatch.server, now_, now_ + RandomBelow(400), static_cast<Outcome>(RandomBelow(9))};
    const double timeout =
        dispatch.timeout.count() > 0 ? std::min(now_ + dispatch.timeout.count(), request.due) : request.due;
    if (attempt.ends_at > timeout) {
      attempt.ends_at = timeout;
      attempt.outcome = Outcome::kTimeout;
    }
    request.attempts.push_back(attempt);
  }

  void CheckAction(const Action& action) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      ++attempts;
      OpenRequest& request = open_.at(dispatch->request);
      CheckDispatch(*dispatch, request);
      RecordDispatch(*dispatch, request);
    } else if (const auto* reject = std::get_if<Reject>(&action)) {
      OpenRequest& request = open_.at(reject->request);
      EXPECT_EQ(++request.finals, 1);
      for (const SentAttempt& attempt : request.attempts) {
        EXPECT_TRUE(NeverRan(attempt) || ClassOf(request).idempotency == Idempotency::kIdempotent)
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
  std::map<BackendId, BackendEntry> backends_, listed_;
  std::map<RequestId, OpenRequest> open_;
};

TEST(RandomSchedules, LegalEvents_RulesOfAttemptsAreKept) {
  std::size_t attempts = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    Settings settings = ThreeClassSettings();
    settings.max_attempts = 1 + static_cast<int>(seed % 5);
    settings.tenants = {{10}, {10}};
    settings.over_quota_weight = 0.2;
    RandomSchedule schedule(settings, seed);
    schedule.Run();
    attempts += schedule.attempts;
  }
  EXPECT_GT(attempts, 2000u) << "the schedules must cause enough attempts";
}

}  // namespace
}  // namespace badgerbridge::balancer
