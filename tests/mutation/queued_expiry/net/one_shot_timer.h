// SPDX-License-Identifier: Apache-2.0
//
// A mutation: net::OneShotTimer without its generation numbers, so that Disarm only cancels the wait.
// Once the wait has expired its handler is in the queue of the event loop, and runs nevertheless. A test
// program compiles the proxy with this header in place of src/net/one_shot_timer.h, and its rig must report a
// loss.
#ifndef BADGERBRIDGE_TESTS_MUTATION_QUEUED_EXPIRY_NET_ONE_SHOT_TIMER_H_
#define BADGERBRIDGE_TESTS_MUTATION_QUEUED_EXPIRY_NET_ONE_SHOT_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace badgerbridge::net {

class OneShotTimer {
 public:
  using Clock = std::chrono::steady_clock;

  explicit OneShotTimer(boost::asio::io_context& io) : timer_(io) {}
  ~OneShotTimer() { Disarm(); }
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;

  template <typename Handler>
  void ArmAt(Clock::time_point when, Handler handler) {
    timer_.expires_at(when);
    Wait(std::move(handler));
  }

  template <typename Handler>
  void ArmAfter(Clock::duration wait, Handler handler) {
    timer_.expires_after(wait);
    Wait(std::move(handler));
  }

  void Disarm() {
    *armed_ = false;
    timer_.cancel();
  }

  bool armed() const { return *armed_; }

 private:
  template <typename Handler>
  void Wait(Handler handler) {
    *armed_ = true;
    timer_.async_wait(
        [armed = armed_, handler = std::move(handler)](const boost::system::error_code& error) mutable {
          if (error) return;
          *armed = false;
          handler();
        });
  }

  boost::asio::steady_timer timer_;
  std::shared_ptr<bool> armed_ = std::make_shared<bool>(false);
};

}  // namespace badgerbridge::net

#endif  // BADGERBRIDGE_TESTS_MUTATION_QUEUED_EXPIRY_NET_ONE_SHOT_TIMER_H_
