// SPDX-License-Identifier: Apache-2.0
//
// Actions run when they are due, in the order of their adding.
#include "multiprocess/schedule.h"

#include <gtest/gtest.h>

#include <string>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {
namespace {

constexpr double kHourMs = 3600e3;

TEST(ScheduleTest, OnlyDueActionsRunAndOnce) {
  Schedule schedule;
  std::string order;
  schedule.Add(NowMs(), [&] { order += 'a'; });
  schedule.Add(NowMs() + kHourMs, [&] { order += 'x'; });
  schedule.Add(NowMs() - kHourMs, [&] { order += 'b'; });
  schedule.RunDue();
  schedule.RunDue();
  EXPECT_EQ(order, "ab");
}

TEST(ScheduleTest, AnActionThatIsAddedByAnotherRunsInTheNextCall) {
  Schedule schedule;
  std::string order;
  schedule.Add(NowMs(), [&] {
    order += 'a';
    schedule.Add(NowMs(), [&] { order += 'b'; });
  });
  schedule.RunDue();
  EXPECT_EQ(order, "a");
  schedule.RunDue();
  EXPECT_EQ(order, "ab");
}

}  // namespace
}  // namespace badgerbridge::multiprocess
