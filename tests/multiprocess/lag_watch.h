// SPDX-License-Identifier: Apache-2.0
//
// When a part of the trial was not run by the system: what it then noted late is not the proxies' fault.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_LAG_WATCH_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_LAG_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>

namespace badgerbridge::multiprocess {

// Looks every few ms, from its making to its end, how late its event loop is.
class LagWatch {
 public:
  explicit LagWatch(boost::asio::io_context& io);
  LagWatch(const LagWatch&) = delete;
  LagWatch& operator=(const LagWatch&) = delete;

  // Pairs of CLOCK_MONOTONIC ms: the loop should have run at the first, and did at the second.
  const boost::json::array& lags() const { return lags_; }

 private:
  void Tick();

  boost::asio::steady_timer timer_;
  boost::json::array lags_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_LAG_WATCH_H_
