// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Waits on an event loop for a condition that nothing signals.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_WHEN_DONE_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_WHEN_DONE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace badgerbridge::multiprocess {

/// Polls a condition, and calls a function once it holds. One wait at a time.
class WhenDone {
 public:
  /// For the event loop of `io`.
  explicit WhenDone(boost::asio::io_context& io) : timer_(io) {}

  /// Calls `then` at once if `is_done` holds, else when it does.
  void Call(std::function<bool()> is_done, std::function<void()> then);

 private:
  boost::asio::steady_timer timer_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_WHEN_DONE_H_
