// SPDX-License-Identifier: Apache-2.0
//
// How many attempts a proxy has in flight.
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

using testing::Entry;
using testing::next_request_id;
using testing::Rig;
using testing::SubmitAndEnd;
using testing::SubmitUntilQueued;
using testing::Usual;

// 65 backends that had just started tripled what was always in order, and the fleet was overdriven.
TEST(ConcurrencyLimit, BackendsWarmingUp_RaiseTheLimitByTheirShareOnly) {
  Settings settings = Usual();
  settings.balancer_count = 2;
  Rig rig(settings);
  std::vector<BackendEntry> list = {Entry(1), Entry(2)};
  for (BackendId id = 3; id <= 10; ++id) list.push_back(Entry(id, 0, 0, BackendState::kReady, rig.now));
  rig.UpdateEndpoints(list);
  for (int i = 0; i < 50; ++i) rig.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_NEAR(static_cast<double>(rig.sent.size()), 6.7, 0.9)
      << "2 + 8 x 0.25 backends, 1.5 each, of 2 proxies, a deviation and two; ten warm ones would make 12";
}

// A new proxy that floods the fleet before it knows any rate leaves queues that last far longer.
TEST(ConcurrencyLimit, NewProxy_StartsFromTheMinimum) {
  Settings settings = Usual();
  settings.balancer_count = 2;
  Rig rig(settings);
  rig.ListBackends(4);
  for (int i = 0; i < 50; ++i) rig.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_NEAR(static_cast<double>(rig.sent.size()), 6.7, 0.9)
      << "1.5 a backend, of 2 proxies; a deviation and two";
}

TEST(ConcurrencyLimit, HugeRequest_IsNotShutOut) {
  Rig rig;
  rig.ListBackends(3);
  for (int i = 0; i < 100; ++i) {
    SubmitAndEnd(rig, Outcome::kOk, {});
    rig.AdvanceTime(50);
  }
  EXPECT_TRUE(rig.SubmitRequest(next_request_id++, 2, 150, 5000).has_value());
}

// Clients' retries kept an overloaded fleet overloaded: every answer late, none rejected.
TEST(ConcurrencyLimit, AllBackendsSlow_NoMoreInFlightThanIsAnsweredInTime) {
  Rig rig;
  rig.ListBackends(3);
  std::deque<std::tuple<double, RequestId, BackendId>> out;
  std::size_t most = 0;
  for (int i = 0; i < 2000; ++i) {
    rig.AdvanceTime(5);
    const RequestId id = next_request_id++;
    if (const auto backend = rig.SubmitRequest(id, 2, 10, 900)) out.emplace_back(rig.now, id, *backend);
    // The fleet answers one in 20 ms, the oldest first.
    if (i % 4 == 0 && !out.empty()) {
      const auto [at, oldest, server] = out.front();
      out.pop_front();
      rig.EndAttempt(oldest, 0, server, Outcome::kOk, rig.now - at);
      for (const Dispatch& dispatch : rig.sent) {
        if (std::none_of(out.begin(), out.end(),
                         [&](const auto& o) { return std::get<1>(o) == dispatch.request; }) &&
            rig.SentTo(dispatch.request))
          out.emplace_back(rig.now, dispatch.request, dispatch.server);
      }
    }
    if (i > 1000) most = std::max(most, out.size());
  }
  EXPECT_LE(most, 9u)
      << "0.05 a ms x a third of the objective of 200 ms, and its deviation, is 5; room for bursts 9";
}

// What arrives by chance is no overload: with few in flight a limit at their mean rejected a tenth for
// nothing.
TEST(ConcurrencyLimit, BurstOfRequests_IsNotLimited) {
  Settings settings = Usual();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  Rig rig(settings);
  rig.ListBackends(3);
  for (int i = 0; i < 4000; ++i) {
    SubmitAndEnd(rig, Outcome::kOk, {});
    rig.AdvanceTime(2);
  }
  EXPECT_NEAR(SubmitUntilQueued(rig, 2), 25, 2)
      << "0.5 a ms x 3 x 10 ms is 15, a deviation of the fleet 4, one of this proxy 4, and two";
}

// The limit of a small proxy among hundreds is a fraction: two in flight each queued twice what the fleet can
// do.
TEST(ConcurrencyLimit, SmallProxy_LimitIsAFraction) {
  Settings settings = Usual();
  settings.balancer_count = 30;
  int three = 0;
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    Rig rig(settings, seed);
    rig.ListBackends(3);
    const int sent = SubmitUntilQueued(rig, 2);
    three += sent == 3;
    EXPECT_GE(sent, 2);
    EXPECT_LE(sent, 3);
  }
  EXPECT_GT(three, 10) << "1.5 x 3 backends of 30 proxies is 0.15, a deviation 0.39, and two: half of them";
  EXPECT_LT(three, 50);
}

// Two requests at a unresponsive backend kept a small proxy from sending anything for seconds.
TEST(ConcurrencyLimit, OverdueAttempts_AreNotCounted) {
  Rig rig;
  rig.ListBackends(3);
  for (int i = 0; i < 100; ++i) {
    SubmitAndEnd(rig, Outcome::kOk, {});
    rig.AdvanceTime(20);
  }
  SubmitUntilQueued(rig, 2);
  ASSERT_FALSE(rig.SubmitRequest(next_request_id++, 2, 10, 5000).has_value());
  const auto before = rig.sent.size();
  for (int i = 0; i < 4; ++i) rig.AdvanceTime(20);  // ten ms is what these take
  EXPECT_GT(rig.sent.size(), before) << "what was queued goes";
}

// Long objectives let queues grow until backends choked on them; a fleet in that state did a fifth of its
// work.
TEST(ConcurrencyLimit, LongObjective_DoesNotOverloadBackends) {
  Settings settings = Usual();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  Rig rig(settings);
  rig.ListBackends(3);
  for (int i = 0; i < 200; ++i) {
    SubmitAndEnd(rig, Outcome::kOk, {});
    rig.AdvanceTime(20);
  }
  for (int i = 0; i < 40; ++i) rig.SubmitRequest(next_request_id++, 2, 10, 5000);
  const auto out = rig.sent.size() - 200;
  EXPECT_NEAR(static_cast<double>(out), 8.6, 1)
      << "1.5 a backend, a deviation and two; a third of the objective would be 16, and 22";
}

}  // namespace
}  // namespace badgerbridge::balancer
