// SPDX-License-Identifier: Apache-2.0
//
// What the balancer makes of the endpoint list and its changes.
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

using testing::Entry;
using testing::Rig;
using testing::SubmitAndSucceed;
using testing::Usual;

TEST(BackendList, DrainingOrGoneBackend_GetsNothingNew) {
  for (BackendState state : {BackendState::kDraining, BackendState::kGone}) {
    Rig rig;
    rig.ListBackends(2);
    rig.UpdateEndpoints({Entry(1, 0, 0, state)}, EndpointListKind::kDelta);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndSucceed(rig), BackendId{2});
  }
  Rig rig;
  rig.ListBackends(2);
  rig.UpdateEndpoints({Entry(2)});  // absent from a full list: removed
  for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndSucceed(rig), BackendId{2});
}

// Two balancers with the same settings and events; one is told the endpoint list change by change, the other
// whole each time.
class TwoWaysOfListing {
 public:
  explicit TwoWaysOfListing(std::uint64_t seed)
      : seed_(seed), by_change_(SettingsFor(seed), seed), whole_(SettingsFor(seed), seed), random_(seed) {
    for (int i = 0; i < 80; ++i) ChangeOne();
    for (BackendId id = 1; id <= 120; ++id) listed_.try_emplace(id, Entry(id, 0, 0, BackendState::kGone));
    by_change_.UpdateEndpoints(All());
    whole_.UpdateEndpoints(All());
  }

  // Changes of the list, requests and ends of attempts; both send alike, at each step and in the end.
  void Play() {
    for (step_ = 0; step_ < 2000; ++step_) {
      const double passed = static_cast<double>(random_() % 40);
      by_change_.now += passed;
      whole_.now += passed;
      if (random_() % 4 == 0) {
        ChangeList();
      } else if (random_() % 2 == 0 || open_.empty()) {
        SubmitOne();
      } else {
        EndOldest();
      }
      ASSERT_EQ(by_change_.sent.size(), whole_.sent.size()) << "seed " << seed_ << ", step " << step_;
    }
    for (std::size_t i = 0; i < by_change_.sent.size(); ++i) {
      ASSERT_EQ(by_change_.sent[i].server, whole_.sent[i].server) << "seed " << seed_ << ", attempt " << i;
    }
  }

  std::uint64_t dispatches = 0;  // of requests that were sent at once

 private:
  static Settings SettingsFor(std::uint64_t seed) {
    Settings settings = Usual();
    settings.balancer_count = 5;
    settings.balancer_index = static_cast<int>(seed % 5);
    settings.cross_zone_cost = 0.1;
    return settings;
  }

  BackendEntry ChangeOne() {
    const auto id = static_cast<BackendId>(random_() % 120 + 1);
    const auto since = random_() % 3 == 0 ? by_change_.now - static_cast<double>(random_() % 12000) : 0;
    BackendEntry entry = Entry(id, static_cast<int>(random_() % 2), static_cast<int>(random_() % 2),
                               BackendState::kReady, since);
    if (random_() % 3 == 0) entry.state = random_() % 2 ? BackendState::kDraining : BackendState::kGone;
    listed_[id] = entry;
    return entry;
  }

  std::vector<BackendEntry> All() const {
    std::vector<BackendEntry> entries;
    for (const auto& [id, entry] : listed_) entries.push_back(entry);
    return entries;
  }

  void ChangeList() {
    std::vector<BackendEntry> changes;
    for (auto left = random_() % 3 + 1; left > 0; --left) changes.push_back(ChangeOne());
    by_change_.UpdateEndpoints(changes, EndpointListKind::kDelta);
    whole_.UpdateEndpoints(All());
  }

  void SubmitOne() {
    const int request_class = static_cast<int>(random_() % 3);
    const double work = 5 + static_cast<double>(random_() % 20);
    ++last_id_;
    const auto backend = by_change_.SubmitRequest(last_id_, request_class, work, 1000, last_id_);
    ASSERT_EQ(backend, whole_.SubmitRequest(last_id_, request_class, work, 1000, last_id_))
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
    by_change_.EndAttempt(oldest.request, 0, oldest.backend, outcome, took, true);
    whole_.EndAttempt(oldest.request, 0, oldest.backend, outcome, took, true);
  }

  struct OpenRequest {
    RequestId request = 0;
    BackendId backend = 0;
  };

  std::uint64_t seed_;
  int step_ = 0;
  Rig by_change_;
  Rig whole_;
  std::mt19937_64 random_;
  std::map<BackendId, BackendEntry> listed_;
  RequestId last_id_ = 0;
  std::deque<OpenRequest> open_;
};

// A list that is told change by change and one that is told whole leave the module with the same backends in
// the same order: it makes the same decisions, ties included.
TEST(BackendList, ChangesOneByOneOrWholeList_SameDecisions) {
  std::uint64_t dispatches = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    TwoWaysOfListing rigs(seed);
    rigs.Play();
    if (HasFatalFailure()) return;
    dispatches += rigs.dispatches;
  }
  EXPECT_GT(dispatches, 10000u);
}

}  // namespace
}  // namespace badgerbridge::balancer
