// SPDX-License-Identifier: Apache-2.0
#include "proxy/recent_ids.h"

#include <gtest/gtest.h>

#include <string>

namespace badgerbridge::proxy {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

TEST(RecentIds, AnIdIsRejectedForTenSecondsAndThenAdded) {
  RecentIds ids(100);
  EXPECT_TRUE(ids.Add("a", At(0)));
  EXPECT_FALSE(ids.Add("a", At(10000)));
  EXPECT_TRUE(ids.Add("b", At(10000)));
  EXPECT_TRUE(ids.Add("a", At(10001)));
  EXPECT_EQ(ids.size(), 2u);
}

TEST(RecentIds, ARejectedIdDoesNotStayLonger) {
  RecentIds ids(100);
  EXPECT_TRUE(ids.Add("a", At(0)));
  EXPECT_FALSE(ids.Add("a", At(9000)));
  EXPECT_TRUE(ids.Add("a", At(10001)));
}

TEST(RecentIds, BeyondTheLimitTheOldestAreDropped) {
  constexpr std::size_t kMaxIds = 3;
  RecentIds ids(kMaxIds);
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(ids.Add(std::to_string(i), At(i)));
    EXPECT_LE(ids.size(), kMaxIds);
  }
  EXPECT_FALSE(ids.Add("9", At(10)));
  EXPECT_TRUE(ids.Add("0", At(10)));
}

}  // namespace
}  // namespace badgerbridge::proxy
