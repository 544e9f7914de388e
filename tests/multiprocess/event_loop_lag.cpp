// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/event_loop_lag.h"

#include <chrono>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr std::chrono::milliseconds kMeasurementInterval{5};
constexpr double kMinLagMs = 5;  // less is the timer's own

}  // namespace

EventLoopLagMonitor::EventLoopLagMonitor(boost::asio::io_context& io) : timer_(io) { ScheduleMeasurement(); }

void EventLoopLagMonitor::ScheduleMeasurement() {
  timer_.expires_after(kMeasurementInterval);
  const double expected_ms = NowMs() + static_cast<double>(kMeasurementInterval.count());
  timer_.async_wait([this, expected_ms](const boost::system::error_code& error) {
    if (error) return;
    const double now_ms = NowMs();
    if (now_ms - expected_ms > kMinLagMs) lags_.push_back({expected_ms, now_ms});
    ScheduleMeasurement();
  });
}

}  // namespace badgerbridge::multiprocess
