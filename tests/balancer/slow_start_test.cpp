// SPDX-License-Identifier: Apache-2.0
//
// Tests the work that is sent to a backend while it warms up.
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

using testing::BalancerHarness;
using testing::Entry;
using testing::next_request_id;
using testing::ThreeClassSettings;

TEST(SlowStart, BackendRestarts_StaysWithinBudgetInEveryWindow) {
  BalancerHarness harness;
  std::vector<BackendEntry> list = {Entry(1), Entry(2), Entry(3)};
  harness.UpdateEndpoints(list);
  // 30 ms of work every 10 ms, answered immediately: each of three warm backends gets about 1 ms per ms.
  auto run = [&](double ms) {
    std::vector<std::pair<double, double>> sent;
    for (double t = 0; t < ms; t += 10) {
      harness.AdvanceTime(10);
      std::vector<std::pair<RequestId, BackendId>> open;
      for (int k = 0; k < 3; ++k) {
        const RequestId id = next_request_id++;
        const auto backend = harness.SubmitRequest(id, 2, 10, 900);
        if (!backend) continue;
        open.emplace_back(id, *backend);
        if (*backend == 3) sent.emplace_back(harness.now, 10);
      }
      for (const auto& [id, backend] : open) harness.EndAttempt(id, 0, backend, Outcome::kOk, 5);
    }
    return sent;
  };
  run(20000);
  harness.UpdateEndpoints({Entry(3, 0, 0, BackendState::kReady, harness.now)},
                          EndpointListKind::kDelta);  // the same id after a restart
  const double start = harness.now;
  const auto sent = run(10000);
  double max_relative_load = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    double window = 0;
    for (std::size_t k = i; k < sent.size() && sent[k].first - sent[i].first < 1000; ++k)
      window += sent[k].second;
    const double share = 0.25 + 0.75 * std::min(1.0, (sent[i].first - start + 1000) / 10000);
    max_relative_load = std::max(max_relative_load, window / (share * 1000));
  }
  EXPECT_LE(max_relative_load, 1.9)
      << "relative to the work sent to a warm backend, times the capacity share";
  EXPECT_GT(sent.size(), 100u) << "the backend warms up";
}

// The load of a backend that started at `start` and has `cores` cores when warm, relative to its overload
// limit: the maximum over all windows of the settings, for requests of `work` sent at the ordered times
// `sent`.
double MaxRelativeLoad(const Settings& s, const std::vector<double>& sent, double start, double cores,
                       double work) {
  double max_load = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    const double warm_up_progress = (sent[i] - start) / s.slow_start_window.count();
    if (warm_up_progress >= 1) break;
    while (sent[i] - sent[first] > s.overload_duration.count()) ++first;
    const double capacity = cores * (s.slow_start_floor + (1 - s.slow_start_floor) * warm_up_progress);
    const double allowed = s.overload_factor * capacity * s.overload_duration.count() / work;
    const double requests = static_cast<double>(i - first + 1);
    max_load = std::max(max_load, requests / (allowed + 2 * std::sqrt(allowed) + 2));
  }
  return max_load;
}

// Proxies that start together, during the slow start of a backend, have no data on each other's dispatches or
// on their own earlier ones. Each submits four requests at once, all proxies within half a second, and again
// when three warm backends with one core each have completed these. Returns the maximum load of the
// warming-up backend relative to its overload limit.
double MaxRelativeLoadAtCommonStart(int proxies, bool hinted) {
  Settings settings = ThreeClassSettings();
  settings.balancer_count = proxies;
  const double work = std::min(100.0, 3000.0 / proxies), started = 99500;
  const int period = static_cast<int>(proxies * 4 * work / 3) / 10;  // steps
  std::vector<BalancerHarness> harnesses;
  for (int i = 0; i < proxies; ++i) {
    settings.balancer_index = i;
    harnesses.emplace_back(settings, static_cast<std::uint64_t>(i) + 1);
    harnesses.back().UpdateEndpoints(
        {Entry(1), Entry(2), Entry(3), Entry(4, 0, 0, BackendState::kReady, started)});
  }
  std::vector<double> sent;
  for (int step = 0; step < 950; ++step) {
    for (int i = 0; i < proxies; ++i) {
      BalancerHarness& harness = harnesses[static_cast<std::size_t>(i)];
      harness.AdvanceTime(10);
      if (step % period != i % std::min(50, period)) continue;
      std::vector<std::pair<RequestId, BackendId>> open;
      for (int k = 0; k < 4; ++k) {
        const RequestId id = next_request_id++;
        const auto server = harness.SubmitRequest(id, 2, hinted ? work : 0, 900);
        if (server) open.emplace_back(id, *server);
        if (server == 4u) sent.push_back(harness.now);
      }
      for (const auto& [id, server] : open) harness.EndAttempt(id, 0, server, Outcome::kOk, work);
    }
  }
  EXPECT_GT(sent.size(), static_cast<std::size_t>(proxies) / 4) << proxies << " proxies warm it up";
  return MaxRelativeLoad(settings, sent, started, 1, work);
}

TEST(SlowStart, ManyProxiesStartTogether_DoNotOverloadBackend) {
  for (const int proxies : {1, 5, 30, 300})
    EXPECT_LE(MaxRelativeLoadAtCommonStart(proxies, true), 1) << proxies;
}

// Without work hints, the budget is counted in requests instead of ms.
TEST(SlowStart, ManyProxiesStartTogetherWithoutHints_DoNotOverloadBackend) {
  for (const int proxies : {1, 5, 30, 300})
    EXPECT_LE(MaxRelativeLoadAtCommonStart(proxies, false), 1) << proxies;
}

// An overloaded fleet is sent far more work than it completes. The budget of a warming-up backend must follow
// the completed work.
TEST(SlowStart, BackendsAreOverloaded_BudgetFollowsCompletedWork) {
  Settings settings = ThreeClassSettings();
  settings.max_attempts = 1;
  BalancerHarness harness(settings);
  harness.UpdateEndpoints({Entry(1), Entry(2), Entry(3, 0, 0, BackendState::kReady, harness.now)});
  int sent = 0;
  for (int i = 0; i < 800; ++i) {
    harness.AdvanceTime(5);
    const RequestId id = next_request_id++;
    const auto server = harness.SubmitRequest(id, 2, 10, 900);
    if (!server) continue;
    sent += *server == 3;
    harness.EndAttempt(id, 0, *server, i % 20 ? Outcome::kRejected : Outcome::kOk, 5);
  }
  EXPECT_LE(sent, 6) << "in 4 s, in a fleet that completed 0.05 of 2 ms of work per ms";
}

TEST(SlowStart, BackendRejectsAttempts_TheyCountAgainstTheBudget) {
  BalancerHarness harness;
  harness.UpdateEndpoints({Entry(1, 0, 0, BackendState::kReady, 99999)});
  int sent = 0;
  for (int i = 0; i < 50; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 2000);
    if (!backend) continue;
    ++sent;
    harness.EndAttempt(id, 0, *backend, Outcome::kRejected);
  }
  EXPECT_LE(sent, 2) << "without data on warm backends, one mean request per window";
}

// An attempt that was never sent uses no budget, even if its end is reported twice; an attempt that the
// backend rejected does.
TEST(SlowStart, AttemptNeverSent_BudgetIsRefundedOnce) {
  for (const Outcome outcome : {Outcome::kNotSent, Outcome::kRejected}) {
    Settings settings = ThreeClassSettings();
    settings.max_attempts = 1;
    BalancerHarness harness(settings);
    harness.UpdateEndpoints({Entry(1), Entry(2), Entry(3, 0, 0, BackendState::kReady, harness.now)});
    const auto view = [&] { return harness.View(3); };
    RequestId at_warming_up = 0;
    for (int i = 0; at_warming_up == 0; ++i) {
      ASSERT_LT(i, 1000);
      harness.AdvanceTime(10);
      const RequestId id = next_request_id++;
      const auto server = harness.SubmitRequest(id, 2, 10, 900);
      if (server == 3u) {
        at_warming_up = id;
      } else if (server) {
        harness.EndAttempt(id, 0, *server, Outcome::kOk, 5);
      }
    }
    EXPECT_EQ(view().slow_start_sent, 10);
    EXPECT_EQ(view().in_flight, 1);
    for (int twice = 0; twice < 2; ++twice) {
      harness.EndAttempt(at_warming_up, 0, 3, outcome);
      EXPECT_EQ(view().slow_start_sent, outcome == Outcome::kNotSent ? 0 : 10);
      EXPECT_EQ(view().in_flight, 0);
    }
  }
}

// With a budget below one request, an occasional request is sent. An attempt that was never sent doesn't
// count.
TEST(SlowStart, AttemptNeverSent_TokenIsRefunded) {
  const auto sent_of_two = [](Outcome first) {
    Settings settings = ThreeClassSettings();
    settings.max_attempts = 1;
    BalancerHarness harness(settings);
    harness.UpdateEndpoints({Entry(1, 0, 0, BackendState::kReady, harness.now - 1)});
    const RequestId id = next_request_id++;
    const auto server = harness.SubmitRequest(id, 2, 10, 900);
    if (server) harness.EndAttempt(id, 0, *server, first);
    return server.has_value() + harness.SubmitRequest(next_request_id++, 2, 10, 900).has_value();
  };
  EXPECT_EQ(sent_of_two(Outcome::kRejected), 1);
  EXPECT_EQ(sent_of_two(Outcome::kNotSent), 2);
}

TEST(SlowStart, AllBackendsWarmUp_FirstRequestIsServed) {
  BalancerHarness harness;
  harness.UpdateEndpoints(
      {Entry(1, 0, 0, BackendState::kReady, 99999), Entry(2, 0, 0, BackendState::kReady, 99999)});
  EXPECT_TRUE(harness.SubmitRequest(next_request_id++, 0).has_value());
}

}  // namespace
}  // namespace badgerbridge::balancer
