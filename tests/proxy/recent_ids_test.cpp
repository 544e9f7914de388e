// SPDX-License-Identifier: Apache-2.0
#include "proxy/recent_ids.h"

#include <gtest/gtest.h>

#include <string>

namespace badgerbridge::proxy {
namespace {

using AddResult = RecentIds::AddResult;

constexpr Duration kMinRetention{2000};
constexpr bool kIdempotent = true;

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

AddResult Add(RecentIds& ids, const std::string& id, double now_ms, bool is_idempotent = false) {
  return ids.Add(RecentIds::HashOf(id), is_idempotent, At(now_ms));
}

TEST(RecentIds, AnIdIsRejectedForTenSecondsAndThenAdded) {
  RecentIds ids(100, kMinRetention);
  EXPECT_EQ(Add(ids, "a", 0), AddResult::kAdded);
  EXPECT_EQ(Add(ids, "a", 10000), AddResult::kDuplicate);
  EXPECT_EQ(Add(ids, "b", 10000), AddResult::kAdded);
  EXPECT_EQ(Add(ids, "a", 10001), AddResult::kAdded);
  EXPECT_EQ(ids.size(), 2u);
}

TEST(RecentIds, ARejectedIdDoesNotStayLonger) {
  RecentIds ids(100, kMinRetention);
  EXPECT_EQ(Add(ids, "a", 0), AddResult::kAdded);
  EXPECT_EQ(Add(ids, "a", 9000), AddResult::kDuplicate);
  EXPECT_EQ(Add(ids, "a", 10001), AddResult::kAdded);
}

TEST(RecentIds, AnIdempotentAndAnotherRequestCannotShareAnId) {
  RecentIds ids(100, kMinRetention);
  EXPECT_EQ(Add(ids, "a", 0, kIdempotent), AddResult::kAdded);
  EXPECT_EQ(Add(ids, "a", 1), AddResult::kDuplicate);
}

TEST(RecentIds, BeyondTheLimitTheOldestAreDropped) {
  constexpr std::size_t kMaxIds = 3;
  for (const bool is_idempotent : {true, false}) {
    RecentIds ids(kMaxIds, kMinRetention);
    const double step_ms = is_idempotent ? 1 : kMinRetention.count();
    for (int i = 0; i < 10; ++i) {
      EXPECT_EQ(Add(ids, std::to_string(i), i * step_ms, is_idempotent), AddResult::kAdded);
      EXPECT_LE(ids.size(), kMaxIds);
    }
    EXPECT_EQ(Add(ids, "9", 10 * step_ms, is_idempotent), AddResult::kDuplicate);
    EXPECT_EQ(Add(ids, "0", 10 * step_ms, is_idempotent), AddResult::kAdded);
  }
}

// Guards against a request that ran twice: under a flood of new ids, its own was dropped while it was
// executing, and its client, which had left, sent it again.
TEST(RecentIds, IdempotentRequestsDropNoIdOfAnother) {
  constexpr std::size_t kMaxIds = 3;
  RecentIds ids(kMaxIds, kMinRetention);
  EXPECT_EQ(Add(ids, "certified copy", 0), AddResult::kAdded);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(Add(ids, std::to_string(i), i, kIdempotent), AddResult::kAdded);
  EXPECT_EQ(ids.size(), kMaxIds);
  EXPECT_EQ(Add(ids, "certified copy", 1000), AddResult::kDuplicate);
}

TEST(RecentIds, WithoutRoomAnIdIsNotAddedUntilTheOldestMayBeDropped) {
  RecentIds ids(2, kMinRetention);
  EXPECT_EQ(Add(ids, "a", 0), AddResult::kAdded);
  EXPECT_EQ(Add(ids, "b", 1), AddResult::kAdded);
  EXPECT_EQ(Add(ids, "c", 2000), AddResult::kFull);
  EXPECT_EQ(Add(ids, "d", 2000, kIdempotent), AddResult::kFull);
  EXPECT_EQ(Add(ids, "a", 2000), AddResult::kDuplicate);
  EXPECT_EQ(Add(ids, "c", 2001), AddResult::kAdded);
  EXPECT_EQ(Add(ids, "b", 2001), AddResult::kDuplicate);
}

TEST(RecentIds, ARemovedIdTakesNoRoomAndMayComeAgain) {
  RecentIds ids(1, kMinRetention);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(Add(ids, "a", i), AddResult::kAdded);
    ids.Remove(RecentIds::HashOf("a"));
    ids.Remove(RecentIds::HashOf("a"));
    EXPECT_EQ(ids.size(), 0u);
  }
}

}  // namespace
}  // namespace badgerbridge::proxy
