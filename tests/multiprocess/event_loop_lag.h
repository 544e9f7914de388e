// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Measures when the system did not run a process of the test: what that process then recorded late is no
/// fault of the proxies.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_EVENT_LOOP_LAG_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_EVENT_LOOP_LAG_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "multiprocess/history.h"

namespace badgerbridge::multiprocess {

/// Measures every few ms, all its life, how late its event loop is.
class EventLoopLagMonitor {
 public:
  /// Begins to measure the loop of `io`.
  explicit EventLoopLagMonitor(boost::asio::io_context& io);
  EventLoopLagMonitor(const EventLoopLagMonitor&) = delete;
  EventLoopLagMonitor& operator=(const EventLoopLagMonitor&) = delete;

  /// The lags so far.
  const std::vector<EventLoopLag>& lags() const { return lags_; }

 private:
  void ScheduleMeasurement();

  boost::asio::steady_timer timer_;
  std::vector<EventLoopLag> lags_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_EVENT_LOOP_LAG_H_
