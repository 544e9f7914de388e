// SPDX-License-Identifier: Apache-2.0
//
// Tests the effect of endpoint lists and incremental updates.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::Entry;
using testing::SubmitAndSucceed;
using testing::ThreeClassSettings;

TEST(BackendList, DrainingOrGoneBackend_GetsNoNewRequests) {
  for (BackendState state : {BackendState::kDraining, BackendState::kGone}) {
    BalancerHarness harness;
    harness.ListBackends(2);
    harness.UpdateEndpoints({Entry(1, 0, 0, state)}, EndpointListKind::kDelta);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndSucceed(harness), BackendId{2});
  }
  BalancerHarness harness;
  harness.ListBackends(2);
  harness.UpdateEndpoints({Entry(2)});  // absent from a full list: removed
  for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndSucceed(harness), BackendId{2});
}

// Two balancers with the same settings and events. One receives incremental updates of the endpoint list, the
// other the full list each time.
class DeltaAndFullListPair {
 public:
  explicit DeltaAndFullListPair(std::uint64_t seed)
      : seed_(seed),
        with_deltas_(SettingsFor(seed), seed),
        with_full_lists_(SettingsFor(seed), seed),
        random_(seed) {
    for (int i = 0; i < 80; ++i) ChangeRandomEntry();
    for (BackendId id = 1; id <= 120; ++id) listed_.try_emplace(id, Entry(id, 0, 0, BackendState::kGone));
    with_deltas_.UpdateEndpoints(FullList());
    with_full_lists_.UpdateEndpoints(FullList());
  }

  // Generates list changes, requests and ends of attempts, and checks that both balancers dispatch alike.
  void Run() {
    for (step_ = 0; step_ < 2000; ++step_) {
      const double elapsed_ms = static_cast<double>(random_() % 40);
      with_deltas_.now += elapsed_ms;
      with_full_lists_.now += elapsed_ms;
      if (random_() % 4 == 0) {
        ChangeList();
      } else if (random_() % 2 == 0 || open_.empty()) {
        SubmitOne();
      } else {
        EndOldest();
      }
      ASSERT_EQ(with_deltas_.sent.size(), with_full_lists_.sent.size())
          << "seed " << seed_ << ", step " << step_;
    }
    for (std::size_t i = 0; i < with_deltas_.sent.size(); ++i) {
      ASSERT_EQ(with_deltas_.sent[i].server, with_full_lists_.sent[i].server)
          << "seed " << seed_ << ", attempt " << i;
    }
  }

  std::uint64_t dispatches = 0;  // of requests that were dispatched immediately

 private:
  static Settings SettingsFor(std::uint64_t seed) {
    Settings settings = ThreeClassSettings();
    settings.balancer_count = 5;
    settings.balancer_index = static_cast<int>(seed % 5);
    settings.cross_zone_cost = 0.1;
    return settings;
  }

  BackendEntry ChangeRandomEntry() {
    const auto id = static_cast<BackendId>(random_() % 120 + 1);
    const auto since = random_() % 3 == 0 ? with_deltas_.now - static_cast<double>(random_() % 12000) : 0;
    const auto first = static_cast<int>(random_() % 2);
    const auto second = static_cast<int>(random_() % 2);
    BackendEntry entry = Entry(id, second, first, BackendState::kReady, since);
    if (random_() % 3 == 0) entry.state = random_() % 2 ? BackendState::kDraining : BackendState::kGone;
    listed_[id] = entry;
    return entry;
  }

  std::vector<BackendEntry> FullList() const {
    std::vector<BackendEntry> entries;
    for (const auto& [id, entry] : listed_) entries.push_back(entry);
    return entries;
  }

  void ChangeList() {
    std::vector<BackendEntry> changes;
    for (auto left = random_() % 3 + 1; left > 0; --left) changes.push_back(ChangeRandomEntry());
    with_deltas_.UpdateEndpoints(changes, EndpointListKind::kDelta);
    with_full_lists_.UpdateEndpoints(FullList());
  }

  void SubmitOne() {
    const int request_class = static_cast<int>(random_() % 3);
    const double work = 5 + static_cast<double>(random_() % 20);
    ++last_id_;
    const auto backend = with_deltas_.SubmitRequest(last_id_, request_class, work, 1000, last_id_);
    ASSERT_EQ(backend, with_full_lists_.SubmitRequest(last_id_, request_class, work, 1000, last_id_))
        << "seed " << seed_ << ", step " << step_;
    if (!backend) return;
    open_.push_back({last_id_, *backend});
    ++dispatches;
  }

  void EndOldest() {
    const OpenRequest oldest = open_.front();
    open_.pop_front();
    const Outcome outcome = random_() % 10 == 0 ? Outcome::kError : Outcome::kOk;
    const double took = 10 + static_cast<double>(random_() % 30);
    with_deltas_.EndAttempt(oldest.request, 0, oldest.backend, outcome, took, true);
    with_full_lists_.EndAttempt(oldest.request, 0, oldest.backend, outcome, took, true);
  }

  struct OpenRequest {
    RequestId request = 0;
    BackendId backend = 0;
  };

  std::uint64_t seed_;
  int step_ = 0;
  BalancerHarness with_deltas_;
  BalancerHarness with_full_lists_;
  std::mt19937_64 random_;
  std::map<BackendId, BackendEntry> listed_;
  RequestId last_id_ = 0;
  std::deque<OpenRequest> open_;
};

// Incremental updates and full lists must produce the same backends in the same order, and thus the same
// decisions, including ties.
TEST(BackendList, IncrementalUpdatesOrFullLists_SameDecisions) {
  std::uint64_t dispatches = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    DeltaAndFullListPair pair(seed);
    pair.Run();
    if (HasFatalFailure()) return;
    dispatches += pair.dispatches;
  }
  EXPECT_GT(dispatches, 10000u);
}

}  // namespace
}  // namespace badgerbridge::balancer
