// SPDX-License-Identifier: Apache-2.0
#include "simulator/slow_start_checker.h"

#include <gtest/gtest.h>

namespace badgerbridge::simulator {
namespace {

/// A backend with two slots.
BackendModel TwoSlots() {
  BackendModel model;
  model.slots = 2;
  model.slow_start_floor = 0.2;
  model.slow_start_window = Duration(10000);
  model.overload_factor = 2.5;
  model.overload_duration = Duration(1000);
  return model;
}

TEST(SlowStartChecker, SettingsAndAge_DecideHowManyCallsAreAllowed) {
  const BackendModel model = TwoSlots();
  EXPECT_DOUBLE_EQ(AllowedCalls(model, 20, Duration(0)), 50);      // 2.5 of 0.4 cores for 1 s
  EXPECT_DOUBLE_EQ(AllowedCalls(model, 20, Duration(5000)), 150);  // 0.6 warm
  EXPECT_DOUBLE_EQ(AllowedCalls(model, 20, Duration(60000)), 250);
  EXPECT_DOUBLE_EQ(MaxCalls(100), 122);
  EXPECT_DOUBLE_EQ(MaxCalls(9), 12) << "3 sqrt(N) + 3";
  EXPECT_DOUBLE_EQ(MaxCalls(1), 5) << "N + 2 sqrt(N) + 2 is less there";
}

/// Whether calls break the rule: `calls` of them, `gap_ms` after each other, the first `unnotified` of them
/// from proxies that had not been notified of the start. 50 are allowed at the start, and 16.1 more by
/// chance.
bool IsViolated(int calls, double gap_ms, double work = 20, int unnotified = 0) {
  SlowStartChecker checker(TwoSlots(), 20);
  checker.Start(TimePoint(Duration(1e6)));
  bool is_violated = false;
  for (int i = 0; i < calls; ++i)
    is_violated |= checker.AddCall(TimePoint(Duration(1e6 + i * gap_ms)), work, i >= unnotified);
  return is_violated;
}

TEST(SlowStartChecker, EveryWindowFromTheStartOn_IsJudged) {
  EXPECT_FALSE(IsViolated(66, 0));
  EXPECT_TRUE(IsViolated(67, 0)) << "a burst in the first moment";
  EXPECT_FALSE(IsViolated(300, 20)) << "50 in each second, while ever more are allowed";
  EXPECT_TRUE(IsViolated(300, 10));
}

TEST(SlowStartChecker, CallsAndTheirWork_AreBothJudged) {
  EXPECT_TRUE(IsViolated(34, 0, 40)) << "half as many, twice as heavy";
  EXPECT_TRUE(IsViolated(67, 0, 1)) << "light ones are calls all the same";
}

TEST(SlowStartChecker, CallsOfProxiesThatWereNotNotified_DoNotCountAlone) {
  EXPECT_FALSE(IsViolated(100, 0, 20, 60));
  EXPECT_TRUE(IsViolated(100, 0, 20, 30)) << "over two thirds of them knew";
  EXPECT_TRUE(IsViolated(167, 0, 20, 100)) << "those who knew are too many by themselves";
}

}  // namespace
}  // namespace badgerbridge::simulator
