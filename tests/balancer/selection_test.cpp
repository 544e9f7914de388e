// SPDX-License-Identifier: Apache-2.0
//
// Tests to which backend an attempt is sent.
#include <gtest/gtest.h>

#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::AnswerRounds;
using testing::BalancerHarness;
using testing::Entry;
using testing::next_request_id;
using testing::SubmitAndSucceed;
using testing::ThreeClassSettings;

TEST(BackendSelection, HintedRequests_LeastWorkInFlightIsSelected) {
  BalancerHarness harness;
  harness.ListBackends(3);
  const auto a = harness.SubmitRequest(1001, 0, 50), b = harness.SubmitRequest(1002, 0, 20),
             c = harness.SubmitRequest(1003, 0, 40);
  EXPECT_EQ(std::set<BackendId>({*a, *b, *c}).size(), 3u);
  EXPECT_EQ(harness.SubmitRequest(1004, 0, 25), b) << "20 in flight is the least";
  EXPECT_EQ(harness.SubmitRequest(1005, 0, 5), c) << "40 in flight is now the least";
}

TEST(BackendSelection, RequestsWithoutHints_FewestInFlightIsSelected) {
  BalancerHarness harness;
  harness.ListBackends(2);
  const auto a = harness.SubmitRequest(1011, 0, 0), b = harness.SubmitRequest(1012, 0, 0);
  EXPECT_NE(a, b);
  harness.EndAttempt(1011, 0, *a, Outcome::kOk);
  EXPECT_EQ(harness.SubmitRequest(1013, 0, 0), a);
}

TEST(BackendSelection, CrossingZonesHasACost_IdleBackendOfOwnZoneIsSelected) {
  Settings settings = ThreeClassSettings();
  settings.cross_zone_cost = 0.02;
  BalancerHarness harness(settings);
  harness.UpdateEndpoints({Entry(1, 1), Entry(2, 0), Entry(3, 1)});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndSucceed(harness), BackendId{2});
  harness.SubmitRequest(next_request_id++);
  EXPECT_NE(harness.SubmitRequest(next_request_id++), BackendId{2})
      << "a request in flight outweighs the crossing cost";
}

TEST(BackendSelection, IdleBackends_TieIsBrokenAtRandom) {
  std::set<BackendId> seen;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BalancerHarness harness(ThreeClassSettings(), seed);
    harness.ListBackends(4);
    seen.insert(*harness.SubmitRequest(1));
  }
  EXPECT_EQ(seen.size(), 4u);
}

// A slow backend that answers before its timeout is never ejected, and without load it ranked as high as
// others.
TEST(BackendSelection, SlowerBackend_CountsAsBusier) {
  BalancerHarness harness;
  harness.ListBackends(2);
  for (int i = 0; i < 40; ++i) {
    const RequestId id = next_request_id++;
    const auto server = harness.SubmitRequest(id, 0, 10, 900);
    harness.EndAttempt(id, 0, *server, Outcome::kOk, *server == 1 ? 60 : 20);
  }
  for (int i = 0; i < 10; ++i) EXPECT_EQ(SubmitAndSucceed(harness), BackendId{2});
  // It still gets requests while the other backend is busy.
  const RequestId busy = next_request_id++;
  EXPECT_EQ(harness.SubmitRequest(busy, 0, 100, 900), BackendId{2});
  EXPECT_EQ(harness.SubmitRequest(next_request_id++, 0, 10, 900), BackendId{1});
}

// Without key affinity, backends repeated the work of a key one after the other, up to half of all work.
TEST(BackendSelection, WarmKey_GoesToItsBackendUnlessThatIsMuchBusier) {
  Settings settings = ThreeClassSettings();
  settings.key_affinity = true;
  BalancerHarness harness(settings);
  harness.ListBackends(4);
  auto submit = [&](std::uint64_t key, double work = 10) {
    return *harness.SubmitRequest(next_request_id++, 0, work, 5000, key);
  };
  const BackendId warm_backend = submit(7);
  EXPECT_EQ(submit(7), warm_backend) << "10 ms in flight there, but the key saves twice its work";
  EXPECT_NE(submit(8), warm_backend) << "another key";
  EXPECT_NE(submit(0), warm_backend) << "no key";
  EXPECT_NE(submit(7, 1), warm_backend) << "20 ms in flight there outweigh the small saving";

  BalancerHarness expiring(settings);
  expiring.ListBackends(4);
  std::set<BackendId> backends;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = next_request_id++;
    backends.insert(*expiring.SubmitRequest(id, 0, 10, 5000, 9));
    expiring.EndAttempt(id, 0, expiring.sent.back().server, Outcome::kOk);
    expiring.AdvanceTime(4001);
  }
  EXPECT_GT(backends.size(), 1u) << "the key has expired";

  settings.key_affinity = false;
  BalancerHarness without_affinity(settings);
  without_affinity.ListBackends(2);
  const auto first = without_affinity.SubmitRequest(next_request_id++, 0, 10, 5000, 7);
  EXPECT_NE(without_affinity.SubmitRequest(next_request_id++, 0, 10, 5000, 7), first);
}

TEST(BackendSelection, NoBackendInService_EjectedOneIsSelected) {
  BalancerHarness harness;
  harness.ListBackends(3);
  AnswerRounds(harness, 3, 3);
  harness.UpdateEndpoints({Entry(2, 0, 0, BackendState::kGone), Entry(3, 0, 0, BackendState::kGone)},
                          EndpointListKind::kDelta);
  EXPECT_EQ(harness.SubmitRequest(next_request_id++), BackendId{1});
}

}  // namespace
}  // namespace badgerbridge::balancer
