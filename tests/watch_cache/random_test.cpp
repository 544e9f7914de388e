// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Runs the simulation (world.h) with fixed seeds. At each step a reader's state is the source's state at the
/// reader's revision, revisions do not decrease (except when the history is replaced), drains are delivered,
/// and memory is bounded. Once faults end, all readers reach the source's state. The mutation tests verify
/// that the same checks detect each of several faults in the cache.
#include <gtest/gtest.h>

#include <iostream>

#include "watch_cache/world.h"

namespace badgerbridge::watch_cache::simulation {
namespace {

constexpr int kStepsPerSeed = 12'500;
constexpr std::uint64_t kSeeds = 16;

std::string Text(const Counts& counts) {
  std::string text;
  const auto add = [&](const char* name, std::uint64_t value) {
    text += std::string(text.empty() ? "" : " ") + name + "=" + std::to_string(value);
  };
  add("steps", counts.steps);
  add("applied", counts.applied);
  add("checked_drains", counts.checked_drains);
  add("reads", counts.reads);
  add("cuts", counts.cuts);
  add("stalls", counts.stalls);
  add("restarts", counts.restarts);
  add("compactions", counts.compactions);
  add("restores", counts.restores);
  add("outages", counts.outages);
  add("snapshots", counts.snapshots);
  add("resumes", counts.resumes);
  add("repeated_lists", counts.repeated_lists);
  add("compacted_watches", counts.compacted_watches);
  add("slow_subscribers_seen", counts.slow_subscribers_seen);
  add("fragments", counts.fragments);
  add("tampered_messages", counts.tampered_messages);
  return text;
}

class WatchCacheRandomTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(WatchCacheRandomTest, ReadersHoldSourceStateAtTheirRevision) {
  World world(GetParam());
  for (int step = 0; step < kStepsPerSeed; ++step) {
    world.Step();
    ASSERT_TRUE(world.violations().empty()) << "seed " << GetParam() << ": " << world.violations()[0];
  }
  ASSERT_TRUE(world.Converge()) << "seed " << GetParam();
  ASSERT_TRUE(world.violations().empty()) << "seed " << GetParam() << ": " << world.violations()[0];
  // The run contains enough of each kind of fault and event.
  const Counts counts = world.counts();
  RecordProperty("counts", Text(counts));
  std::cout << Text(counts) << "\n";
  EXPECT_GT(counts.applied, 10'000u);
  EXPECT_GT(counts.checked_drains, 2'000u);
  EXPECT_GT(counts.reads, 100u);
  EXPECT_GT(counts.cuts, 50u);
  EXPECT_GT(counts.compactions, 20u);
  EXPECT_GT(counts.restarts, 10u);
  EXPECT_GT(counts.resumes, 20u);
  EXPECT_GT(counts.slow_subscribers_seen, 100u);
  EXPECT_GT(counts.fragments, 100u);
  EXPECT_GT(counts.repeated_lists, 2u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WatchCacheRandomTest, ::testing::Range<std::uint64_t>(1, kSeeds + 1));

class WatchCacheMutationTest : public ::testing::TestWithParam<Mutation> {};

TEST_P(WatchCacheMutationTest, IsDetected) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    World world(seed, GetParam());
    int step = 0;
    while (step < kStepsPerSeed && world.violations().empty()) {
      world.Step();
      ++step;
    }
    ASSERT_FALSE(world.violations().empty()) << "seed " << seed << ": no violation in " << step << " steps, "
                                             << world.counts().tampered_messages << " messages tampered with";
    EXPECT_GT(world.counts().tampered_messages, 0u)
        << "a violation without a tampered message: " << world.violations()[0];
    std::cout << "seed " << seed << ", " << world.counts().tampered_messages
              << " messages tampered with: " << world.violations()[0] << "\n";
  }
}

INSTANTIATE_TEST_SUITE_P(Faults, WatchCacheMutationTest,
                         ::testing::Values(Mutation::kLostDelete, Mutation::kMergedDrain,
                                           Mutation::kWrongResume, Mutation::kEarlyProgress));

}  // namespace
}  // namespace badgerbridge::watch_cache::simulation
