// SPDX-License-Identifier: Apache-2.0
//
// The measurement of when a process of the test was not run.
#include "multiprocess/event_loop_lag.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <thread>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {
namespace {

using std::chrono::milliseconds;

// Guards against lateness of the test itself that counts as the proxy's, and against a period that counts as
// lateness though the loop ran.
TEST(EventLoopLagTest, TheTimeInWhichTheLoopWasHeldUpIsNotRunningTime) {
  constexpr double kHeldUpMs = 100;
  constexpr double kMaxMeasurementMs = 10;  // interval of the measurement, and the least lag
  constexpr double kRoundingMs = 1e-6;
  boost::asio::io_context io(1);
  const EventLoopLagMonitor monitor(io);
  double from_ms = 0;
  double until_ms = 0;
  boost::asio::post(io, [&] {
    from_ms = NowMs();
    std::this_thread::sleep_for(milliseconds(static_cast<int>(kHeldUpMs)));
    until_ms = NowMs();
  });
  while (monitor.lags().empty()) io.run_one();
  EXPECT_LE(monitor.RunningTime(from_ms, until_ms), kMaxMeasurementMs);
  const double before_ms = monitor.lags().front().from_ms;
  EXPECT_NEAR(monitor.RunningTime(before_ms - 50, before_ms), 50, kRoundingMs);
  EXPECT_NEAR(monitor.RunningTime(before_ms - 50, before_ms + 20), 50, kRoundingMs);
}

}  // namespace
}  // namespace badgerbridge::multiprocess
