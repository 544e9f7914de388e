// SPDX-License-Identifier: Apache-2.0
//
// A list that is told change by change and one that is told whole leave the module with the same servers in
// the same order: it makes the same decisions, ties included.
#include <gtest/gtest.h>

#include <random>

#include "harness.h"

namespace badgerbridge::balancer::testing {
namespace {

TEST(List, ChangesOneByOneAndAWholeListDecideAlike) {
  std::uint64_t dispatches = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Settings settings = Usual();
    settings.balancer_count = 5;
    settings.balancer_index = static_cast<int>(seed % 5);
    settings.cross_zone_cost = 0.1;
    Rig by_change(settings, seed), whole(settings, seed);
    std::mt19937_64 random(seed);
    std::map<BackendId, BackendEntry> world;
    const auto change = [&] {
      const auto id = static_cast<BackendId>(random() % 120 + 1);
      const auto since = random() % 3 == 0 ? by_change.now - static_cast<double>(random() % 12000) : 0;
      BackendEntry entry = Entry(id, static_cast<int>(random() % 2), static_cast<int>(random() % 2),
                                 BackendState::kReady, since);
      if (random() % 3 == 0) entry.state = random() % 2 ? BackendState::kDraining : BackendState::kGone;
      world[id] = entry;
      return entry;
    };
    std::vector<BackendEntry> first;
    for (int i = 0; i < 80; ++i) first.push_back(change());
    for (BackendId id = 1; id <= 120; ++id) world.try_emplace(id, Entry(id, 0, 0, BackendState::kGone));
    const auto all = [&] {
      std::vector<BackendEntry> entries;
      for (const auto& [id, entry] : world) entries.push_back(entry);
      return entries;
    };
    by_change.List(all());
    whole.List(all());
    RequestId id = 0;
    std::vector<std::pair<RequestId, BackendId>> out;
    for (int step = 0; step < 2000; ++step) {
      const double pass = static_cast<double>(random() % 40);
      by_change.now += pass;
      whole.now += pass;
      if (random() % 4 == 0) {
        std::vector<BackendEntry> changes;
        for (auto n = random() % 3 + 1; n > 0; --n) changes.push_back(change());
        by_change.List(changes, EndpointListKind::kDelta);
        whole.List(all());
      } else if (random() % 2 == 0 || out.empty()) {
        const int cls = static_cast<int>(random() % 3);
        const double work = 5 + static_cast<double>(random() % 20);
        ++id;
        const auto a = by_change.Ask(id, cls, work, 1000, id), b = whole.Ask(id, cls, work, 1000, id);
        ASSERT_EQ(a, b) << "seed " << seed << ", step " << step;
        if (a) out.emplace_back(id, *a), ++dispatches;
      } else {
        const auto [request, server] = out.front();
        out.erase(out.begin());
        const Outcome outcome = random() % 10 == 0 ? Outcome::kError : Outcome::kOk;
        const double took = 10 + static_cast<double>(random() % 30);
        by_change.End(request, 0, server, outcome, took, true);
        whole.End(request, 0, server, outcome, took, true);
      }
      ASSERT_EQ(by_change.sent.size(), whole.sent.size()) << "seed " << seed << ", step " << step;
    }
    for (std::size_t i = 0; i < by_change.sent.size(); ++i)
      ASSERT_EQ(by_change.sent[i].server, whole.sent[i].server) << "seed " << seed << ", attempt " << i;
  }
  EXPECT_GT(dispatches, 10000u);
}

}  // namespace
}  // namespace badgerbridge::balancer::testing
