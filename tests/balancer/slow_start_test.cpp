// SPDX-License-Identifier: Apache-2.0
//
// What a backend is sent while it warms up.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::Entry;
using testing::next_request_id;
using testing::Rig;
using testing::Usual;

TEST(SlowStart, BackendStartsAnew_StaysWithinBudgetInEveryWindow) {
  Rig rig;
  std::vector<BackendEntry> list = {Entry(1), Entry(2), Entry(3)};
  rig.UpdateEndpoints(list);
  // 30 ms of work every 10 ms, answered at once, for 20 s: each warm backend gets about 1 a ms.
  auto run = [&](double ms) {
    std::vector<std::pair<double, double>> sent;
    for (double t = 0; t < ms; t += 10) {
      rig.AdvanceTime(10);
      std::vector<std::pair<RequestId, BackendId>> open;
      for (int k = 0; k < 3; ++k) {
        const RequestId id = next_request_id++;
        const auto backend = rig.SubmitRequest(id, 2, 10, 900);
        if (!backend) continue;
        open.emplace_back(id, *backend);
        if (*backend == 3) sent.emplace_back(rig.now, 10);
      }
      for (const auto& [id, backend] : open) rig.EndAttempt(id, 0, backend, Outcome::kOk, 5);
    }
    return sent;
  };
  run(20000);
  rig.UpdateEndpoints({Entry(3, 0, 0, BackendState::kReady, rig.now)},
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
  EXPECT_LE(most, 1.9) << "of what a warm backend was sent, times the warming-up share";
  EXPECT_GT(sent.size(), 100u) << "and it is brought back";
}

// Of what the rule allows a backend that starts at `start` and has what a warm one of `cores` has: the
// largest share that the calls at `sent`, in order and each of `work`, take in any window of the settings.
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

// Proxies that start together, in the middle of a backend's slow start, know nothing of what the others send,
// nor of what they sent themselves before. Each asks four times at once, all of them within half a second,
// and again once three warm backends of a core each are through with that. The largest share of what the rule
// allows the warming-up one.
double WorstShareOfManyStartingTogether(int proxies, bool hinted) {
  Settings settings = Usual();
  settings.balancer_count = proxies;
  const double work = std::min(100.0, 3000.0 / proxies), started = 99500;
  const int period = static_cast<int>(proxies * 4 * work / 3) / 10;  // steps
  std::vector<Rig> rigs;
  for (int i = 0; i < proxies; ++i) {
    settings.balancer_index = i;
    rigs.emplace_back(settings, static_cast<std::uint64_t>(i) + 1);
    rigs.back().UpdateEndpoints(
        {Entry(1), Entry(2), Entry(3), Entry(4, 0, 0, BackendState::kReady, started)});
  }
  std::vector<double> sent;
  for (int step = 0; step < 950; ++step) {
    for (int i = 0; i < proxies; ++i) {
      Rig& rig = rigs[static_cast<std::size_t>(i)];
      rig.AdvanceTime(10);
      if (step % period != i % std::min(50, period)) continue;
      std::vector<std::pair<RequestId, BackendId>> open;
      for (int k = 0; k < 4; ++k) {
        const RequestId id = next_request_id++;
        const auto server = rig.SubmitRequest(id, 2, hinted ? work : 0, 900);
        if (server) open.emplace_back(id, *server);
        if (server == 4u) sent.push_back(rig.now);
      }
      for (const auto& [id, server] : open) rig.EndAttempt(id, 0, server, Outcome::kOk, work);
    }
  }
  EXPECT_GT(sent.size(), static_cast<std::size_t>(proxies) / 4) << proxies << " proxies bring it back";
  return WorstShareOfSlowStart(settings, sent, started, 1, work);
}

TEST(SlowStart, ManyProxiesStartTogether_SendNoMoreThanTheBackendBears) {
  for (const int proxies : {1, 5, 30, 300})
    EXPECT_LE(WorstShareOfManyStartingTogether(proxies, true), 1) << proxies;
}

// Where requests tell nothing of their work, it is counted in requests, and not in ms.
TEST(SlowStart, ManyProxiesStartTogetherWithoutHints_SendNoMoreThanTheBackendBears) {
  for (const int proxies : {1, 5, 30, 300})
    EXPECT_LE(WorstShareOfManyStartingTogether(proxies, false), 1) << proxies;
}

// An overloaded fleet is sent far more than it serves; the warming-up backend's budget must follow what is
// served.
TEST(SlowStart, BackendsAreOverloaded_BudgetFollowsCompletedWork) {
  Settings settings = Usual();
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.UpdateEndpoints({Entry(1), Entry(2), Entry(3, 0, 0, BackendState::kReady, rig.now)});
  int sent = 0;
  for (int i = 0; i < 800; ++i) {
    rig.AdvanceTime(5);
    const RequestId id = next_request_id++;
    const auto server = rig.SubmitRequest(id, 2, 10, 900);
    if (!server) continue;
    sent += *server == 3;
    rig.EndAttempt(id, 0, *server, i % 20 ? Outcome::kRejected : Outcome::kOk, 5);
  }
  EXPECT_LE(sent, 6) << "4 s, of a fleet that served 0.05 of 2 ms of work a ms";
}

TEST(SlowStart, BackendRejectsAttempts_TheyCountAgainstTheBudget) {
  Rig rig;
  rig.UpdateEndpoints({Entry(1, 0, 0, BackendState::kReady, 99999)});
  int sent = 0;
  for (int i = 0; i < 50; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = rig.SubmitRequest(id, 2, 10, 2000);
    if (!backend) continue;
    ++sent;
    rig.EndAttempt(id, 0, *backend, Outcome::kRejected);
  }
  EXPECT_LE(sent, 2) << "nothing is known of warm backends: one mean request a window";
}

// What was withdrawn before it was sent has used up nothing of the budget, however often that is told; what
// the backend turned away has.
TEST(SlowStart, AttemptNeverSent_BudgetIsRefundedOnce) {
  for (const Outcome outcome : {Outcome::kNotSent, Outcome::kRejected}) {
    Settings settings = Usual();
    settings.max_attempts = 1;
    Rig rig(settings);
    rig.UpdateEndpoints({Entry(1), Entry(2), Entry(3, 0, 0, BackendState::kReady, rig.now)});
    const auto cold = [&] { return rig.View(3); };
    RequestId at_cold = 0;
    for (int i = 0; at_cold == 0; ++i) {
      ASSERT_LT(i, 1000);
      rig.AdvanceTime(10);
      const RequestId id = next_request_id++;
      const auto server = rig.SubmitRequest(id, 2, 10, 900);
      if (server == 3u) {
        at_cold = id;
      } else if (server) {
        rig.EndAttempt(id, 0, *server, Outcome::kOk, 5);
      }
    }
    EXPECT_EQ(cold().cold_sent, 10);
    EXPECT_EQ(cold().in_flight, 1);
    for (int twice = 0; twice < 2; ++twice) {
      rig.EndAttempt(at_cold, 0, 3, outcome);
      EXPECT_EQ(cold().cold_sent, outcome == Outcome::kNotSent ? 0 : 10);
      EXPECT_EQ(cold().in_flight, 0);
    }
  }
}

// Where the budget is less than one request, one is sent in a while: one that was never sent is none.
TEST(SlowStart, AttemptNeverSent_TokenIsRefunded) {
  const auto sent_of_two = [](Outcome first) {
    Settings settings = Usual();
    settings.max_attempts = 1;
    Rig rig(settings);
    rig.UpdateEndpoints({Entry(1, 0, 0, BackendState::kReady, rig.now - 1)});
    const RequestId id = next_request_id++;
    const auto server = rig.SubmitRequest(id, 2, 10, 900);
    if (server) rig.EndAttempt(id, 0, *server, first);
    return server.has_value() + rig.SubmitRequest(next_request_id++, 2, 10, 900).has_value();
  };
  EXPECT_EQ(sent_of_two(Outcome::kRejected), 1);
  EXPECT_EQ(sent_of_two(Outcome::kNotSent), 2);
}

TEST(SlowStart, AllBackendsWarmUp_FirstRequestIsServed) {
  Rig rig;
  rig.UpdateEndpoints(
      {Entry(1, 0, 0, BackendState::kReady, 99999), Entry(2, 0, 0, BackendState::kReady, 99999)});
  EXPECT_TRUE(rig.SubmitRequest(next_request_id++, 0).has_value());
}

}  // namespace
}  // namespace badgerbridge::balancer
