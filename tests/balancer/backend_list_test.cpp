// SPDX-License-Identifier: Apache-2.0
//
// What the balancer makes of the endpoint list and its changes.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <utility>
#include <vector>

#include "balancer/traffic.h"
#include "fordlb/balancer.h"
#include "harness.h"

namespace fordlb {
namespace {

using testing::Entry;
using testing::Rig;
using testing::SubmitAndSucceed;
using testing::Usual;

TEST(BackendList, DrainingOrGoneBackend_GetsNothingNew) {
  for (ServerState state : {ServerState::kDraining, ServerState::kGone}) {
    Rig rig;
    rig.ListBackends(2);
    rig.UpdateEndpoints({Entry(1, 0, 0, state)}, ListKind::kDelta);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndSucceed(rig), ServerId{2});
  }
  Rig rig;
  rig.ListBackends(2);
  rig.UpdateEndpoints({Entry(2)});  // absent from a full list: removed
  for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndSucceed(rig), ServerId{2});
}

// A list that is told change by change and one that is told whole leave the module with the same backends in
// the same order: it makes the same decisions, ties included.
TEST(BackendList, ChangesOneByOneOrWholeList_SameDecisions) {
  std::uint64_t dispatches = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Settings settings = Usual();
    settings.balancers = 5;
    settings.me = static_cast<int>(seed % 5);
    settings.price_cross_zone = 0.1;
    Rig by_change(settings, seed), whole(settings, seed);
    std::mt19937_64 random(seed);
    std::map<ServerId, ServerEntry> world;
    const auto change = [&] {
      const auto id = static_cast<ServerId>(random() % 120 + 1);
      const auto since = random() % 3 == 0 ? by_change.now - static_cast<double>(random() % 12000) : 0;
      ServerEntry entry = Entry(id, static_cast<int>(random() % 2), static_cast<int>(random() % 2),
                                ServerState::kReady, since);
      if (random() % 3 == 0) entry.state = random() % 2 ? ServerState::kDraining : ServerState::kGone;
      world[id] = entry;
      return entry;
    };
    std::vector<ServerEntry> first;
    for (int i = 0; i < 80; ++i) first.push_back(change());
    for (ServerId id = 1; id <= 120; ++id) world.try_emplace(id, Entry(id, 0, 0, ServerState::kGone));
    const auto all = [&] {
      std::vector<ServerEntry> entries;
      for (const auto& [id, entry] : world) entries.push_back(entry);
      return entries;
    };
    by_change.UpdateEndpoints(all());
    whole.UpdateEndpoints(all());
    RequestId id = 0;
    std::vector<std::pair<RequestId, ServerId>> out;
    for (int step = 0; step < 2000; ++step) {
      const double pass = static_cast<double>(random() % 40);
      by_change.now += pass;
      whole.now += pass;
      if (random() % 4 == 0) {
        std::vector<ServerEntry> changes;
        for (auto n = random() % 3 + 1; n > 0; --n) changes.push_back(change());
        by_change.UpdateEndpoints(changes, ListKind::kDelta);
        whole.UpdateEndpoints(all());
      } else if (random() % 2 == 0 || out.empty()) {
        const int cls = static_cast<int>(random() % 3);
        const double work = 5 + static_cast<double>(random() % 20);
        ++id;
        const auto a = by_change.SubmitRequest(id, cls, work, 1000, id),
                   b = whole.SubmitRequest(id, cls, work, 1000, id);
        ASSERT_EQ(a, b) << "seed " << seed << ", step " << step;
        if (a) out.emplace_back(id, *a), ++dispatches;
      } else {
        const auto [request, server] = out.front();
        out.erase(out.begin());
        const Outcome outcome = random() % 10 == 0 ? Outcome::kError : Outcome::kOk;
        const double took = 10 + static_cast<double>(random() % 30);
        by_change.EndAttempt(request, 0, server, outcome, took, true);
        whole.EndAttempt(request, 0, server, outcome, took, true);
      }
      ASSERT_EQ(by_change.sent.size(), whole.sent.size()) << "seed " << seed << ", step " << step;
    }
    for (std::size_t i = 0; i < by_change.sent.size(); ++i)
      ASSERT_EQ(by_change.sent[i].server, whole.sent[i].server) << "seed " << seed << ", attempt " << i;
  }
  EXPECT_GT(dispatches, 10000u);
}

}  // namespace
}  // namespace fordlb
