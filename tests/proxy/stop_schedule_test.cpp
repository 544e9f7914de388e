// SPDX-License-Identifier: Apache-2.0
#include "proxy/stop_schedule.h"

#include <gtest/gtest.h>

#include <chrono>

namespace badgerbridge::proxy {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLongestDeadline{1000};

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

TEST(StopSchedule, WithoutAStopEachTimeIsFarAway) {
  const StopSchedule schedule({}, kLongestDeadline);
  EXPECT_FALSE(schedule.has_begun());
  EXPECT_EQ(schedule.UntilAnswerDeadline(At(5)), std::chrono::hours(1));
  EXPECT_EQ(schedule.UntilServingEnds(At(5)), std::chrono::hours(1));
  EXPECT_GT(schedule.AnswerDeadline(), At(1e15));
}

TEST(StopSchedule, TimesCountFromTheStop) {
  StopSchedule schedule({}, kLongestDeadline);
  schedule.Begin(At(100));
  EXPECT_TRUE(schedule.has_begun());
  EXPECT_EQ(schedule.AnswerDeadline(), At(100 + 1000 + 300));
  EXPECT_EQ(schedule.UntilAnswerDeadline(At(200)), milliseconds(1200));
  EXPECT_EQ(schedule.UntilServingEnds(At(100)), milliseconds(700));
  EXPECT_TRUE(schedule.MayRetryAccept(At(1399)));
  EXPECT_FALSE(schedule.MayRetryAccept(At(1400)));
}

TEST(StopSchedule, AWaitIsRoundedUpAndNeverBelowZero) {
  StopSchedule schedule({}, kLongestDeadline);
  schedule.Begin(At(0));
  EXPECT_EQ(schedule.UntilServingEnds(At(699.5)), milliseconds(1));
  EXPECT_EQ(schedule.UntilServingEnds(At(701)), milliseconds(0));
  EXPECT_EQ(schedule.UntilAnswerDeadline(At(5000)), milliseconds(0));
}

}  // namespace
}  // namespace badgerbridge::proxy
