// SPDX-License-Identifier: Apache-2.0
//
// A timer for a single-threaded event loop whose handler never runs after it has been disarmed or re-armed.
#ifndef BADGERBRIDGE_NET_ONE_SHOT_TIMER_H_
#define BADGERBRIDGE_NET_ONE_SHOT_TIMER_H_

#include <boost/asio/bind_allocator.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <new>
#include <type_traits>
#include <utility>

#include "net/handler_memory.h"

namespace badgerbridge::net {

/// Runs a handler once, at a point in time or after a delay, unless it is disarmed or re-armed before.
///
/// boost::asio::steady_timer alone does not guarantee that: a wait that has expired puts its handler into the
/// queue of the io_context, and neither cancel() nor expires_at() removes it from there. After the
/// process was descheduled, the expiry and other events can become ready in the same iteration of the loop;
/// the other events' handlers then run first, and the queued handler would act on a state that they have
/// changed. Here each
/// arming has a generation number, and a handler of an earlier generation does nothing.
///
/// If there is no memory for a wait, it is retried from the event loop until it succeeds, so that arming with
/// a handler whose copying does not throw cannot fail. Arming with a handler that cannot be
/// copied may throw std::bad_alloc; the timer is not armed then.
///
/// Not thread-safe. It may be destroyed while armed, also from its own handler; the handler is not called
/// then.
class OneShotTimer {
 public:
  /// The clock of ArmAt().
  using Clock = std::chrono::steady_clock;

  /// Creates an unarmed timer. `io` runs its handlers and must outlive it.
  explicit OneShotTimer(boost::asio::io_context& io) : io_(io), timer_(io) {}
  /// Disarms the timer.
  ~OneShotTimer() { Disarm(); }
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;

  /// Calls `handler`, a function without arguments, from the event loop at `when` or soon after. Replaces an
  /// earlier arming.
  template <typename Handler>
  void ArmAt(Clock::time_point when, Handler handler) {
    timer_.expires_at(when);
    Arm(std::move(handler));
  }

  /// Like ArmAt, `delay` from now.
  template <typename Handler>
  void ArmAfter(Clock::duration delay, Handler handler) {
    timer_.expires_after(delay);
    Arm(std::move(handler));
  }

  /// Prevents the handler from being called, even if it is queued already. No effect on an unarmed timer.
  void Disarm() {
    if (!armed()) return;
    ++state_->generation;
    state_->armed = false;
    timer_.cancel();
  }

  /// True from the arming until the handler begins or the timer is disarmed.
  bool armed() const { return state_->armed; }

 private:
  struct State {
    bool IsArmedWith(std::uint64_t wait_generation) const { return armed && generation == wait_generation; }

    std::uint64_t generation = 0;
    bool armed = false;
    HandlerMemory retry_memory;  // for the handler that retries a failed wait
  };

  template <typename Handler>
  void Arm(Handler handler) {
    ++state_->generation;
    state_->armed = false;
    if constexpr (std::is_copy_constructible_v<Handler>) {
      state_->armed = true;
      StartWait(std::move(handler));
    } else {
      auto shared_handler = std::make_shared<Handler>(std::move(handler));
      state_->armed = true;
      StartWait([shared_handler = std::move(shared_handler)] { (*shared_handler)(); });
    }
  }

  template <typename Handler>
  void StartWait(Handler handler) {
    const std::uint64_t generation = state_->generation;
    try {
      timer_.async_wait([state = state_, generation, handler](const boost::system::error_code&) mutable {
        if (!state->IsArmedWith(generation)) return;
        state->armed = false;
        handler();
      });
    } catch (const std::bad_alloc&) {
      const HandlerAllocator<void> memory(std::shared_ptr<HandlerMemory>(state_, &state_->retry_memory));
      boost::asio::post(io_, boost::asio::bind_allocator(memory, [this, state = state_, generation, handler] {
                          if (state->IsArmedWith(generation)) StartWait(handler);
                        }));
    }
  }

  boost::asio::io_context& io_;  // posting through the timer's own executor would allocate on the heap
  boost::asio::steady_timer timer_;
  std::shared_ptr<State> state_ = std::make_shared<State>();  // outlives the timer while a handler is queued
};

}  // namespace badgerbridge::net

#endif  // BADGERBRIDGE_NET_ONE_SHOT_TIMER_H_
