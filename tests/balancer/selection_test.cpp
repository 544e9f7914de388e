// SPDX-License-Identifier: Apache-2.0
//
// Which backend an attempt is sent to.
#include <gtest/gtest.h>

#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::AnswerRounds;
using testing::Entry;
using testing::next_request_id;
using testing::Rig;
using testing::SubmitAndSucceed;
using testing::Usual;

TEST(BackendSelection, HintedRequests_LeastWorkInFlightIsSelected) {
  Rig rig;
  rig.ListBackends(3);
  const auto a = rig.SubmitRequest(1001, 0, 50), b = rig.SubmitRequest(1002, 0, 20),
             c = rig.SubmitRequest(1003, 0, 40);
  EXPECT_EQ(std::set<BackendId>({*a, *b, *c}).size(), 3u);
  EXPECT_EQ(rig.SubmitRequest(1004, 0, 25), b) << "20 in flight is the least";
  EXPECT_EQ(rig.SubmitRequest(1005, 0, 5), c) << "now 40 is";
}

TEST(BackendSelection, RequestsWithoutHints_FewestInFlightIsSelected) {
  Rig rig;
  rig.ListBackends(2);
  const auto a = rig.SubmitRequest(1011, 0, 0), b = rig.SubmitRequest(1012, 0, 0);
  EXPECT_NE(a, b);
  rig.EndAttempt(1011, 0, *a, Outcome::kOk);
  EXPECT_EQ(rig.SubmitRequest(1013, 0, 0), a);
}

TEST(BackendSelection, CrossingZonesHasACost_IdleBackendOfOwnZoneIsSelected) {
  Settings settings = Usual();
  settings.cross_zone_cost = 0.02;
  Rig rig(settings);
  rig.UpdateEndpoints({Entry(1, 1), Entry(2, 0), Entry(3, 1)});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndSucceed(rig), BackendId{2});
  rig.SubmitRequest(next_request_id++);
  EXPECT_NE(rig.SubmitRequest(next_request_id++), BackendId{2}) << "a whole request in flight outweighs it";
}

TEST(BackendSelection, IdleBackends_TieIsBrokenAtRandom) {
  std::set<BackendId> seen;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Rig rig(Usual(), seed);
    rig.ListBackends(4);
    seen.insert(*rig.SubmitRequest(1));
  }
  EXPECT_EQ(seen.size(), 4u);
}

// A slow backend that answers within its time-out is never ejected; idle, it looked as good as any other.
TEST(BackendSelection, SlowerBackend_CountsAsBusier) {
  Rig rig;
  rig.ListBackends(2);
  for (int i = 0; i < 40; ++i) {
    const RequestId id = next_request_id++;
    const auto server = rig.SubmitRequest(id, 0, 10, 900);
    rig.EndAttempt(id, 0, *server, Outcome::kOk, *server == 1 ? 60 : 20);
  }
  for (int i = 0; i < 10; ++i) EXPECT_EQ(SubmitAndSucceed(rig), BackendId{2});
  // And with that one busy it still serves.
  const RequestId busy = next_request_id++;
  EXPECT_EQ(rig.SubmitRequest(busy, 0, 100, 900), BackendId{2});
  EXPECT_EQ(rig.SubmitRequest(next_request_id++, 0, 10, 900), BackendId{1});
}

// Spread evenly, a key was served afresh by one backend after the other: up to half of all work for nothing.
TEST(BackendSelection, WarmKey_GoesToItsBackendUnlessThatIsFarBusier) {
  Settings settings = Usual();
  settings.key_affinity = true;
  Rig rig(settings);
  rig.ListBackends(4);
  auto ask = [&](std::uint64_t key, double work = 10) {
    return *rig.SubmitRequest(next_request_id++, 0, work, 5000, key);
  };
  const BackendId home = ask(7);
  EXPECT_EQ(ask(7), home) << "10 in flight there, but the key saves its work";
  EXPECT_NE(ask(8), home) << "another key";
  EXPECT_NE(ask(0), home) << "no key";
  EXPECT_NE(ask(7, 1), home) << "20 in flight there weigh more than so small a saving";

  Rig forgets(settings);
  forgets.ListBackends(4);
  std::set<BackendId> later;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = next_request_id++;
    later.insert(*forgets.SubmitRequest(id, 0, 10, 5000, 9));
    forgets.EndAttempt(id, 0, forgets.sent.back().server, Outcome::kOk);
    forgets.AdvanceTime(4001);
  }
  EXPECT_GT(later.size(), 1u) << "forgotten";

  settings.key_affinity = false;
  Rig none(settings);
  none.ListBackends(2);
  const auto first = none.SubmitRequest(next_request_id++, 0, 10, 5000, 7);
  EXPECT_NE(none.SubmitRequest(next_request_id++, 0, 10, 5000, 7), first);
}

TEST(BackendSelection, NoBackendInService_EjectedOneIsSelected) {
  Rig rig;
  rig.ListBackends(3);
  AnswerRounds(rig, 3, 3);
  rig.UpdateEndpoints({Entry(2, 0, 0, BackendState::kGone), Entry(3, 0, 0, BackendState::kGone)},
                      EndpointListKind::kDelta);
  EXPECT_EQ(rig.SubmitRequest(next_request_id++), BackendId{1});
}

}  // namespace
}  // namespace badgerbridge::balancer
