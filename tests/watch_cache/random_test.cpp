// SPDX-License-Identifier: Apache-2.0
//
// One source, three relays in two tiers and sixteen readers from fixed seeds: at each step, what a reader
// holds is the source's state at the revision that it names, revisions never go back (but for a replaced
// history), drains are seen, and memory is bounded; once faults end, all hold what the source holds. And the
// same checks find each of several planted faults.
#include <gtest/gtest.h>

#include <iostream>

#include "watch_cache/world.h"

namespace badgerbridge::watch_cache {
namespace {

constexpr int kSteps = 12'500;        // of a seed
constexpr std::uint64_t kSeeds = 16;  // 200,000 steps in all

std::string Text(const Counts& counts) {
  std::string text;
  const auto add = [&](const char* name, std::uint64_t value) {
    text += std::string(text.empty() ? "" : " ") + name + "=" + std::to_string(value);
  };
  add("steps", counts.steps), add("applied", counts.applied);
  add("drains_checked", counts.drains_checked), add("reads", counts.reads), add("cuts", counts.cuts);
  add("stalls", counts.stalls), add("restarts", counts.restarts), add("compactions", counts.compactions);
  add("restores", counts.restores), add("outages", counts.outages), add("snapshots", counts.snapshots);
  add("resumes", counts.resumes), add("lists_again", counts.lists_again), add("rereads", counts.rereads);
  add("merged", counts.merged), add("fragments", counts.fragments), add("tampered", counts.tampered);
  return text;
}

class RelayRandomTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RelayRandomTest, ReadersHoldTheSourcesStateAtTheRevisionTheyName) {
  World world(GetParam());
  for (int step = 0; step < kSteps; ++step) {
    world.Step();
    ASSERT_TRUE(world.violations().empty()) << "seed " << GetParam() << ": " << world.violations()[0];
  }
  ASSERT_TRUE(world.Converge()) << "seed " << GetParam();
  ASSERT_TRUE(world.violations().empty()) << "seed " << GetParam() << ": " << world.violations()[0];
  // It was about something.
  const Counts counts = world.counts();
  RecordProperty("counts", Text(counts));
  std::cout << Text(counts) << "\n";
  EXPECT_GT(counts.applied, 10'000u);
  EXPECT_GT(counts.drains_checked, 2'000u);
  EXPECT_GT(counts.reads, 100u);
  EXPECT_GT(counts.cuts, 50u);
  EXPECT_GT(counts.compactions, 20u);
  EXPECT_GT(counts.restarts, 10u);
  EXPECT_GT(counts.resumes, 20u);
  EXPECT_GT(counts.merged, 100u);
  EXPECT_GT(counts.fragments, 100u);
  EXPECT_GT(counts.lists_again, 2u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RelayRandomTest, ::testing::Range<std::uint64_t>(1, kSeeds + 1));

class RelayPlantedFaultTest : public ::testing::TestWithParam<Mutation> {};

TEST_P(RelayPlantedFaultTest, IsFound) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    World world(seed, GetParam());
    int step = 0;
    while (step < kSteps && world.violations().empty()) world.Step(), ++step;
    ASSERT_FALSE(world.violations().empty()) << "seed " << seed << " finds nothing in " << step << " steps, "
                                             << world.counts().tampered << " messages spoilt";
    EXPECT_GT(world.counts().tampered, 0u) << "found something else: " << world.violations()[0];
    std::cout << "seed " << seed << ", " << world.counts().tampered << " spoilt: " << world.violations()[0]
              << "\n";
  }
}

INSTANTIATE_TEST_SUITE_P(Faults, RelayPlantedFaultTest,
                         ::testing::Values(Mutation::kLostDelete, Mutation::kMergedDrain,
                                           Mutation::kWrongResume, Mutation::kEarlyProgress));

}  // namespace
}  // namespace badgerbridge::watch_cache
