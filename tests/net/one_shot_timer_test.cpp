// SPDX-License-Identifier: Apache-2.0
//
// Tests OneShotTimer with a virtual clock, which makes expiries and other handlers ready in the same
// iteration of the event loop.
#include "net/one_shot_timer.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "support/virtual_clock.h"

namespace badgerbridge::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWait{10};

class OneShotTimerTest : public ::testing::Test {
 protected:
  // Runs the handlers that are ready now.
  void RunReady() {
    io_.restart();
    io_.poll();
  }
  void AdvanceAndRun(milliseconds by) {
    clock_.Advance(by);
    RunReady();
  }
  // Runs `step` in the loop iteration in which timers of kWait expire, while their handlers are queued: the
  // timer that runs `step` expires first, and handlers are queued in the order of expiry.
  template <typename Step>
  void BeforeQueuedHandlers(Step step) {
    earlier_timer_.expires_after(kWait - milliseconds(1));
    earlier_timer_.async_wait([step](const boost::system::error_code&) { step(); });
  }
  // A handler that counts its calls in calls_.
  auto CountCall() {
    return [this] { ++calls_; };
  }

  badgerbridge::testing::VirtualClock clock_;
  boost::asio::io_context io_;
  boost::asio::steady_timer earlier_timer_{io_};
  OneShotTimer timer_{io_};
  int calls_ = 0;
};

TEST_F(OneShotTimerTest, RunsItsHandlerOnceAtItsTime) {
  timer_.ArmAfter(kWait, CountCall());
  EXPECT_TRUE(timer_.armed());
  AdvanceAndRun(kWait - milliseconds(1));
  EXPECT_EQ(calls_, 0);
  AdvanceAndRun(milliseconds(1));
  EXPECT_EQ(calls_, 1);
  EXPECT_FALSE(timer_.armed());
  AdvanceAndRun(10 * kWait);
  EXPECT_EQ(calls_, 1);
}

TEST_F(OneShotTimerTest, RunsItsHandlerAtAPointInTime) {
  timer_.ArmAt(OneShotTimer::Clock::now() + kWait, CountCall());
  AdvanceAndRun(kWait - milliseconds(1));
  EXPECT_EQ(calls_, 0);
  AdvanceAndRun(milliseconds(1));
  EXPECT_EQ(calls_, 1);
}

TEST_F(OneShotTimerTest, APastPointInTimeIsDueAtOnceButNotWithinTheCall) {
  timer_.ArmAt(OneShotTimer::Clock::now() - kWait, CountCall());
  EXPECT_EQ(calls_, 0);
  RunReady();
  EXPECT_EQ(calls_, 1);
}

// Shows the fault that OneShotTimer avoids: with a steady_timer, the same order of events runs the handler of
// a cancelled wait without an error.
TEST_F(OneShotTimerTest, ASteadyTimerAloneRunsAQueuedHandlerDespiteCancel) {
  boost::asio::steady_timer steady_timer_alone(io_, kWait);
  bool ran_without_error = false;
  steady_timer_alone.async_wait([&](const boost::system::error_code& error) { ran_without_error = !error; });
  BeforeQueuedHandlers([&] { EXPECT_EQ(steady_timer_alone.cancel(), 0u); });
  AdvanceAndRun(kWait);
  EXPECT_TRUE(ran_without_error);
}

TEST_F(OneShotTimerTest, DisarmedWhileItsExpiryIsQueuedItDoesNotRun) {
  timer_.ArmAfter(kWait, CountCall());
  bool disarmed = false;
  BeforeQueuedHandlers([&] {
    EXPECT_TRUE(timer_.armed());
    timer_.Disarm();
    disarmed = true;
    EXPECT_FALSE(timer_.armed());
  });
  AdvanceAndRun(kWait);
  EXPECT_TRUE(disarmed);
  AdvanceAndRun(10 * kWait);
  EXPECT_EQ(calls_, 0);
}

TEST_F(OneShotTimerTest, RearmedWhileItsExpiryIsQueuedOnlyTheNewHandlerRunsAtItsTime) {
  int old_calls = 0;
  timer_.ArmAfter(kWait, [&] { ++old_calls; });
  BeforeQueuedHandlers([&] { timer_.ArmAfter(kWait, CountCall()); });
  AdvanceAndRun(kWait);
  EXPECT_EQ(old_calls, 0);
  EXPECT_EQ(calls_, 0);
  EXPECT_TRUE(timer_.armed());
  AdvanceAndRun(kWait - milliseconds(1));
  EXPECT_EQ(calls_, 0);
  AdvanceAndRun(milliseconds(1));
  EXPECT_EQ(calls_, 1);
  EXPECT_EQ(old_calls, 0);
}

TEST_F(OneShotTimerTest, DisarmedAndRearmedWhileItsExpiryIsQueuedOnlyTheNewHandlerRuns) {
  int old_calls = 0;
  timer_.ArmAfter(kWait, [&] { ++old_calls; });
  BeforeQueuedHandlers([&] {
    timer_.Disarm();
    timer_.ArmAt(OneShotTimer::Clock::now(), CountCall());  // due immediately
  });
  AdvanceAndRun(kWait);
  EXPECT_EQ(old_calls, 0);
  EXPECT_EQ(calls_, 1);
}

TEST_F(OneShotTimerTest, RearmedBeforeItsExpiryOnlyTheNewHandlerRuns) {
  int old_calls = 0;
  timer_.ArmAfter(kWait, [&] { ++old_calls; });
  timer_.ArmAfter(2 * kWait, CountCall());
  AdvanceAndRun(kWait);
  EXPECT_EQ(calls_, 0);
  AdvanceAndRun(kWait);
  EXPECT_EQ(calls_, 1);
  EXPECT_EQ(old_calls, 0);
}

TEST_F(OneShotTimerTest, DisarmInItsOwnHandlerDoesNothing) {
  timer_.ArmAfter(kWait, [&] {
    ++calls_;
    EXPECT_FALSE(timer_.armed());
    timer_.Disarm();
  });
  AdvanceAndRun(kWait);
  EXPECT_EQ(calls_, 1);
  timer_.ArmAfter(kWait, CountCall());
  AdvanceAndRun(kWait);
  EXPECT_EQ(calls_, 2);
}

TEST_F(OneShotTimerTest, RearmedInItsOwnHandlerItRunsAgain) {
  std::vector<OneShotTimer::Clock::time_point> calls_at;
  const auto began = OneShotTimer::Clock::now();
  std::function<void()> rearm = [&] {
    calls_at.push_back(OneShotTimer::Clock::now());
    if (calls_at.size() < 3) timer_.ArmAfter(kWait, rearm);
  };
  timer_.ArmAfter(kWait, rearm);
  for (int i = 0; i < 5; ++i) AdvanceAndRun(kWait);
  EXPECT_EQ(calls_at, (std::vector<OneShotTimer::Clock::time_point>{began + kWait, began + 2 * kWait,
                                                                    began + 3 * kWait}));
  EXPECT_FALSE(timer_.armed());
}

TEST_F(OneShotTimerTest, DestroyedWhileItsExpiryIsQueuedItDoesNotRun) {
  std::optional<OneShotTimer> timer(io_);
  timer->ArmAfter(kWait, CountCall());
  BeforeQueuedHandlers([&] { timer.reset(); });
  AdvanceAndRun(kWait);
  EXPECT_FALSE(timer.has_value());
  EXPECT_EQ(calls_, 0);
}

TEST_F(OneShotTimerTest, DestroyedBeforeItsExpiryItDoesNotRun) {
  std::optional<OneShotTimer> timer(io_);
  timer->ArmAfter(kWait, CountCall());
  timer.reset();
  AdvanceAndRun(kWait);
  EXPECT_EQ(calls_, 0);
}

TEST_F(OneShotTimerTest, DestroyedInItsOwnHandlerTheHandlerCompletes) {
  auto timer = std::make_unique<OneShotTimer>(io_);
  const auto captured = std::make_shared<int>(7);
  int value_after_reset = 0;
  timer->ArmAfter(kWait, [&timer, &value_after_reset, captured] {
    timer.reset();
    value_after_reset = *captured;  // the handler's captures outlive the timer
  });
  AdvanceAndRun(kWait);
  EXPECT_EQ(value_after_reset, 7);
  EXPECT_EQ(captured.use_count(), 1);
}

TEST_F(OneShotTimerTest, DisarmOfAnUnarmedTimerDoesNothing) {
  timer_.Disarm();
  EXPECT_FALSE(timer_.armed());
  timer_.ArmAfter(kWait, CountCall());
  AdvanceAndRun(kWait);
  timer_.Disarm();
  timer_.Disarm();
  EXPECT_EQ(calls_, 1);
  timer_.ArmAfter(kWait, CountCall());
  AdvanceAndRun(kWait);
  EXPECT_EQ(calls_, 2);
}

TEST_F(OneShotTimerTest, AMoveOnlyHandlerIsAcceptedAndReleasedWhenDisarmed) {
  const auto captured = std::make_shared<int>(0);
  timer_.ArmAfter(kWait, [move_only = std::make_unique<int>(1), captured] { *captured += *move_only; });
  EXPECT_EQ(captured.use_count(), 2);
  timer_.Disarm();
  RunReady();
  EXPECT_EQ(captured.use_count(), 1);
  EXPECT_EQ(*captured, 0);
}

}  // namespace
}  // namespace badgerbridge::net
