// SPDX-License-Identifier: Apache-2.0

/// @file
/// Virtual time: one queue of events, run in the order of their times. Nothing here or above reads a clock.
#ifndef BADGERBRIDGE_SIMULATOR_EVENT_QUEUE_H_
#define BADGERBRIDGE_SIMULATOR_EVENT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <new>
#include <queue>
#include <type_traits>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::simulator {

using balancer::Duration;
using balancer::TimePoint;

/// Events of one moment run in the order in which they were scheduled, or, with a tie seed, in an order drawn
/// from it: a run is the same for the same seed, and another seed tries another order of ties. One thread.
class EventQueue {
 public:
  /// `tie_seed` 0: events of one moment run as they were scheduled.
  explicit EventQueue(std::uint64_t tie_seed = 0) : tie_seed_(tie_seed) {}

  /// Calls `callback(now)` at `at`, or now if that is earlier than now. The callback is kept without an
  /// allocation, so that it must be small and trivially copyable: a lambda that captures pointers and
  /// numbers. What it refers to must outlive the queue.
  template <typename Callback>
  void Schedule(TimePoint at, Callback callback) {
    static_assert(sizeof(Callback) <= kMaxCallbackBytes);
    static_assert(alignof(Callback) <= alignof(std::uint64_t));
    static_assert(std::is_trivially_copyable_v<Callback>);
    static_assert(std::is_trivially_destructible_v<Callback>);
    const std::uint64_t number = ++scheduled_;
    Event event;
    event.at = at < now_ ? now_ : at;
    event.tie_break = tie_seed_ == 0 ? number : Mix(number ^ tie_seed_);
    event.invoke = [](const std::byte* stored, TimePoint now) {
      (*std::launder(reinterpret_cast<const Callback*>(stored)))(now);
    };
    ::new (static_cast<void*>(event.callback)) Callback(callback);
    heap_.push(event);
  }

  /// Runs the first event; false if there is none at or before `until`.
  bool RunNext(TimePoint until) {
    if (heap_.empty() || heap_.top().at > until) return false;
    const Event event = heap_.top();
    heap_.pop();
    now_ = event.at;
    ++steps_;
    event.invoke(event.callback, now_);
    return true;
  }

  /// The time of the event that runs, or that ran last.
  TimePoint now() const { return now_; }
  /// Events that have run.
  std::uint64_t steps() const { return steps_; }
  /// Events that are still to run.
  std::size_t size() const { return heap_.size(); }

 private:
  static constexpr std::size_t kMaxCallbackBytes = 32;

  struct Event {
    TimePoint at;
    std::uint64_t tie_break;
    void (*invoke)(const std::byte* callback, TimePoint now);
    alignas(std::uint64_t) std::byte callback[kMaxCallbackBytes];
  };
  struct IsLater {
    bool operator()(const Event& left, const Event& right) const {
      return left.at != right.at ? left.at > right.at : left.tie_break > right.tie_break;
    }
  };

  // SplitMix64's finalizer (Steele, Lea, Flood, 2014): a bijection, so that no two events tie.
  static std::uint64_t Mix(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
    return value ^ (value >> 31);
  }

  const std::uint64_t tie_seed_;
  std::priority_queue<Event, std::vector<Event>, IsLater> heap_;
  TimePoint now_{};
  std::uint64_t scheduled_ = 0;
  std::uint64_t steps_ = 0;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_EVENT_QUEUE_H_
