// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Notifies coroutines that wait for a change of the agent's state.
#ifndef BADGERBRIDGE_AGENT_CHANGE_SIGNAL_H_
#define BADGERBRIDGE_AGENT_CHANGE_SIGNAL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace badgerbridge::agent {

/// All waiters share one timer, so the shortest wait ends all of them: each waiter checks its condition and
/// may have to wait again. Runs on one event loop; not thread-safe.
class ChangeSignal {
 public:
  /// `io` must outlive the signal.
  explicit ChangeSignal(boost::asio::io_context& io) : timer_(io) {}

  /// Ends all waits.
  void Notify() { timer_.cancel(); }
  /// Returns after `max_wait` at the latest, and earlier after Notify() or when another wait expires.
  boost::asio::awaitable<void> Wait(std::chrono::milliseconds max_wait);

 private:
  boost::asio::steady_timer timer_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_CHANGE_SIGNAL_H_
