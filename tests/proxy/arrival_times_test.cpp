// SPDX-License-Identifier: Apache-2.0
#include "proxy/arrival_times.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace badgerbridge::proxy {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

TEST(ArrivalTimes, OldestIsTheArrivalOfTheOldestByte) {
  ArrivalTimes times;
  EXPECT_TRUE(times.empty());
  times.Add(10, At(1));
  times.Add(0, At(2));
  times.Add(5, At(3));
  EXPECT_EQ(times.Oldest(), At(1));
  times.Consume(9);
  EXPECT_EQ(times.Oldest(), At(1));
  times.Consume(1);
  EXPECT_EQ(times.Oldest(), At(3));
  times.Consume(5);
  EXPECT_TRUE(times.empty());
}

// Compares with a model that keeps the time of every byte: the result is never later than the exact time, and
// equals it while few ranges are in the buffer.
TEST(ArrivalTimes, RandomRangesNeverCountAsLaterThanTheyAre) {
  std::mt19937 random(7);
  for (int run = 0; run < 50; ++run) {
    const bool many = run % 2 == 1;
    ArrivalTimes times;
    std::deque<TimePoint> bytes;
    for (int step = 0; step < 2000; ++step) {
      const std::size_t added = random() % (many ? 3 : 20);
      for (std::size_t i = 0; i < added; ++i) bytes.push_back(At(step));
      times.Add(added, At(step));
      if (!many || random() % 400 == 0) {
        const std::size_t consumed = random() % (bytes.size() + 1);
        bytes.erase(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(consumed));
        times.Consume(consumed);
      }
      ASSERT_EQ(times.empty(), bytes.empty());
      if (bytes.empty()) continue;
      ASSERT_LE(times.Oldest(), bytes.front());
      if (!many) {
        ASSERT_EQ(times.Oldest(), bytes.front());
      }
    }
  }
}

}  // namespace
}  // namespace badgerbridge::proxy
