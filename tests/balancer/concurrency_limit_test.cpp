// SPDX-License-Identifier: Apache-2.0
//
// Tests the limit on attempts in flight.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <tuple>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::Entry;
using testing::next_request_id;
using testing::SubmitAndEnd;
using testing::SubmitUntilQueued;
using testing::ThreeClassSettings;

// 65 backends that had just started tripled the minimum limit, which overloaded the fleet.
TEST(ConcurrencyLimit, BackendsWarmingUp_RaiseTheLimitByTheirShareOnly) {
  Settings settings = ThreeClassSettings();
  settings.balancer_count = 2;
  BalancerHarness harness(settings);
  std::vector<BackendEntry> list = {Entry(1), Entry(2)};
  for (BackendId id = 3; id <= 10; ++id) list.push_back(Entry(id, 0, 0, BackendState::kReady, harness.now));
  harness.UpdateEndpoints(list);
  for (int i = 0; i < 50; ++i) harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_NEAR(static_cast<double>(harness.sent.size()), 6.7, 0.9)
      << "1.5 for each of 2 + 8 x 0.25 backends over 2 proxies, a deviation and two; 12 for ten warm "
         "backends";
}

// A new proxy that floods the backends before it has measured a rate causes queues that take long to drain.
TEST(ConcurrencyLimit, NewProxy_StartsFromTheMinimum) {
  Settings settings = ThreeClassSettings();
  settings.balancer_count = 2;
  BalancerHarness harness(settings);
  harness.ListBackends(4);
  for (int i = 0; i < 50; ++i) harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_NEAR(static_cast<double>(harness.sent.size()), 6.7, 0.9)
      << "1.5 per backend over 2 proxies, a deviation and two";
}

TEST(ConcurrencyLimit, HugeRequest_IsNotExcluded) {
  BalancerHarness harness;
  harness.ListBackends(3);
  for (int i = 0; i < 100; ++i) {
    SubmitAndEnd(harness, Outcome::kOk, {});
    harness.AdvanceTime(50);
  }
  EXPECT_TRUE(harness.SubmitRequest(next_request_id++, 2, 150, 5000).has_value());
}

// Retries of clients kept an overloaded fleet overloaded: all answers were late, and none was rejected.
TEST(ConcurrencyLimit, AllBackendsSlow_InFlightIsLimitedToTimelyAnswers) {
  BalancerHarness harness;
  harness.ListBackends(3);
  std::deque<std::tuple<double, RequestId, BackendId>> out;
  std::size_t max_in_flight = 0;
  for (int i = 0; i < 2000; ++i) {
    harness.AdvanceTime(5);
    const RequestId id = next_request_id++;
    if (const auto backend = harness.SubmitRequest(id, 2, 10, 900))
      out.emplace_back(harness.now, id, *backend);
    // The fleet answers one request per 20 ms, oldest first.
    if (i % 4 == 0 && !out.empty()) {
      const auto [at, oldest, server] = out.front();
      out.pop_front();
      harness.EndAttempt(oldest, 0, server, Outcome::kOk, harness.now - at);
      for (const Dispatch& dispatch : harness.sent) {
        if (std::none_of(out.begin(), out.end(),
                         [&](const auto& entry) { return std::get<1>(entry) == dispatch.request; }) &&
            harness.SentTo(dispatch.request))
          out.emplace_back(harness.now, dispatch.request, dispatch.server);
      }
    }
    if (i > 1000) max_in_flight = std::max(max_in_flight, out.size());
  }
  EXPECT_LE(max_in_flight, 9u)
      << "0.05 per ms x a third of the objective of 200 ms, and its deviation, is 5; with the burst 9";
}

// Random bursts are no overload: with few attempts in flight, a limit at the mean rejected a tenth of the
// requests needlessly.
TEST(ConcurrencyLimit, BurstOfRequests_IsNotLimited) {
  Settings settings = ThreeClassSettings();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  BalancerHarness harness(settings);
  harness.ListBackends(3);
  for (int i = 0; i < 4000; ++i) {
    SubmitAndEnd(harness, Outcome::kOk, {});
    harness.AdvanceTime(2);
  }
  EXPECT_NEAR(SubmitUntilQueued(harness, 2), 25, 2)
      << "0.5 per ms x 3 x 10 ms is 15, a deviation of the fleet 4, one of this proxy 4, and two";
}

// The limit of a small proxy among hundreds is fractional: with two attempts in flight each, the proxies
// queued twice the capacity of the fleet.
TEST(ConcurrencyLimit, SmallProxy_LimitIsAFraction) {
  Settings settings = ThreeClassSettings();
  settings.balancer_count = 30;
  int with_three = 0;
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    BalancerHarness harness(settings, seed);
    harness.ListBackends(3);
    const int sent = SubmitUntilQueued(harness, 2);
    with_three += sent == 3;
    EXPECT_GE(sent, 2);
    EXPECT_LE(sent, 3);
  }
  EXPECT_GT(with_three, 10)
      << "1.5 x 3 backends over 30 proxies is 0.15, a deviation 0.39, and two: 3 for half of the seeds";
  EXPECT_LT(with_three, 50);
}

// Two attempts at an unresponsive backend blocked all dispatches of a small proxy for seconds.
TEST(ConcurrencyLimit, OverdueAttempts_AreNotCounted) {
  BalancerHarness harness;
  harness.ListBackends(3);
  for (int i = 0; i < 100; ++i) {
    SubmitAndEnd(harness, Outcome::kOk, {});
    harness.AdvanceTime(20);
  }
  SubmitUntilQueued(harness, 2);
  ASSERT_FALSE(harness.SubmitRequest(next_request_id++, 2, 10, 5000).has_value());
  const auto before = harness.sent.size();
  for (int i = 0; i < 4; ++i) harness.AdvanceTime(20);  // these requests usually take 10 ms
  EXPECT_GT(harness.sent.size(), before) << "queued requests are dispatched";
}

// With long objectives, queues grew until the backends were overloaded and completed a fifth of their usual
// work.
TEST(ConcurrencyLimit, LongObjective_DoesNotOverloadBackends) {
  Settings settings = ThreeClassSettings();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  BalancerHarness harness(settings);
  harness.ListBackends(3);
  for (int i = 0; i < 200; ++i) {
    SubmitAndEnd(harness, Outcome::kOk, {});
    harness.AdvanceTime(20);
  }
  for (int i = 0; i < 40; ++i) harness.SubmitRequest(next_request_id++, 2, 10, 5000);
  const auto out = harness.sent.size() - 200;
  EXPECT_NEAR(static_cast<double>(out), 8.6, 1)
      << "1.5 per backend, a deviation and two; a third of the objective would be 16, and 22";
}

}  // namespace
}  // namespace badgerbridge::balancer
