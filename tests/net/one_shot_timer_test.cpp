// SPDX-License-Identifier: Apache-2.0
//
// OneShotTimer by a clock of the tests' own, so that expiries and other handlers are forced into one turn of
// the event loop.
#include "net/one_shot_timer.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <chrono>
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
  void RunReady() {
    io_.restart();
    io_.poll();
  }
  void AdvanceAndRun(milliseconds by) {
    clock_.Advance(by);
    RunReady();
  }
  // Runs `step` in the turn of the loop in which timers of kWait expire, when their handlers are queued: its
  // own timer expires first, and handlers are queued in the order of the expiries.
  template <typename Step>
  void BeforeQueuedHandlers(Step step) {
    earlier_.expires_after(kWait - milliseconds(1));
    earlier_.async_wait([step](const boost::system::error_code&) { step(); });
  }
  auto Count() {
    return [this] { ++calls_; };
  }

  badgerbridge::testing::VirtualClock clock_;
  boost::asio::io_context io_;
  boost::asio::steady_timer earlier_{io_};
  OneShotTimer timer_{io_};
  int calls_ = 0;
};

TEST_F(OneShotTimerTest, RunsItsHandlerOnceAtItsTime) {
  timer_.ArmAfter(kWait, Count());
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
  timer_.ArmAt(OneShotTimer::Clock::now() + kWait, Count());
  AdvanceAndRun(kWait - milliseconds(1));
  EXPECT_EQ(calls_, 0);
  AdvanceAndRun(milliseconds(1));
  EXPECT_EQ(calls_, 1);
}

TEST_F(OneShotTimerTest, APointInTimeThatHasPassedIsDueAtOnceAndNotFromWithin) {
  timer_.ArmAt(OneShotTimer::Clock::now() - kWait, Count());
  EXPECT_EQ(calls_, 0);
  RunReady();
  EXPECT_EQ(calls_, 1);
}

// What OneShotTimer is for: here the same order of events reaches the handler of a wait that was cancelled.
TEST_F(OneShotTimerTest, ASteadyTimerAloneRunsAQueuedHandlerInSpiteOfCancel) {
  boost::asio::steady_timer plain(io_, kWait);
  bool ran_without_error = false;
  plain.async_wait([&](const boost::system::error_code& error) { ran_without_error = !error; });
  BeforeQueuedHandlers([&] { EXPECT_EQ(plain.cancel(), 0u); });
  AdvanceAndRun(kWait);
  EXPECT_TRUE(ran_without_error);
}

TEST_F(OneShotTimerTest, DisarmedWhileItsExpiryIsQueuedItDoesNotRun) {
  timer_.ArmAfter(kWait, Count());
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
  BeforeQueuedHandlers([&] { timer_.ArmAfter(kWait, Count()); });
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
    timer_.ArmAt(OneShotTimer::Clock::now(), Count());  // due in the same moment
  });
  AdvanceAndRun(kWait);
  EXPECT_EQ(old_calls, 0);
  EXPECT_EQ(calls_, 1);
}

TEST_F(OneShotTimerTest, RearmedBeforeItsExpiryOnlyTheNewHandlerRuns) {
  int old_calls = 0;
  timer_.ArmAfter(kWait, [&] { ++old_calls; });
  timer_.ArmAfter(2 * kWait, Count());
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
  timer_.ArmAfter(kWait, Count());
  AdvanceAndRun(kWait);
  EXPECT_EQ(calls_, 2);
}

TEST_F(OneShotTimerTest, RearmedInItsOwnHandlerItRunsAgain) {
  std::vector<OneShotTimer::Clock::time_point> at;
  const auto began = OneShotTimer::Clock::now();
  std::function<void()> again = [&] {
    at.push_back(OneShotTimer::Clock::now());
    if (at.size() < 3) timer_.ArmAfter(kWait, again);
  };
  timer_.ArmAfter(kWait, again);
  for (int i = 0; i < 5; ++i) AdvanceAndRun(kWait);
  EXPECT_EQ(at, (std::vector<OneShotTimer::Clock::time_point>{began + kWait, began + 2 * kWait,
                                                              began + 3 * kWait}));
  EXPECT_FALSE(timer_.armed());
}

TEST_F(OneShotTimerTest, DestroyedWhileItsExpiryIsQueuedItDoesNotRun) {
  std::optional<OneShotTimer> timer(io_);
  timer->ArmAfter(kWait, Count());
  BeforeQueuedHandlers([&] { timer.reset(); });
  AdvanceAndRun(kWait);
  EXPECT_FALSE(timer.has_value());
  EXPECT_EQ(calls_, 0);
}

TEST_F(OneShotTimerTest, DestroyedBeforeItsExpiryItDoesNotRun) {
  std::optional<OneShotTimer> timer(io_);
  timer->ArmAfter(kWait, Count());
  timer.reset();
  AdvanceAndRun(kWait);
  EXPECT_EQ(calls_, 0);
}

TEST_F(OneShotTimerTest, ItMayBeDestroyedFromItsOwnHandlerWhichRunsOn) {
  auto timer = std::make_unique<OneShotTimer>(io_);
  const auto kept = std::make_shared<int>(7);
  int seen = 0;
  timer->ArmAfter(kWait, [&timer, &seen, kept] {
    timer.reset();
    seen = *kept;  // what the handler holds outlives the timer
  });
  AdvanceAndRun(kWait);
  EXPECT_EQ(seen, 7);
  EXPECT_EQ(kept.use_count(), 1);
}

TEST_F(OneShotTimerTest, DisarmOfOneThatIsNotArmedDoesNothing) {
  timer_.Disarm();
  EXPECT_FALSE(timer_.armed());
  timer_.ArmAfter(kWait, Count());
  AdvanceAndRun(kWait);
  timer_.Disarm();
  timer_.Disarm();
  EXPECT_EQ(calls_, 1);
  timer_.ArmAfter(kWait, Count());
  AdvanceAndRun(kWait);
  EXPECT_EQ(calls_, 2);
}

TEST_F(OneShotTimerTest, AMoveOnlyHandlerIsTakenAndLetGoWhenDisarmed) {
  const auto held = std::make_shared<int>(0);
  timer_.ArmAfter(kWait, [only = std::make_unique<int>(1), held] { *held += *only; });
  EXPECT_EQ(held.use_count(), 2);
  timer_.Disarm();
  RunReady();
  EXPECT_EQ(held.use_count(), 1);
  EXPECT_EQ(*held, 0);
}

}  // namespace
}  // namespace badgerbridge::net
