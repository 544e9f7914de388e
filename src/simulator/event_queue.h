// SPDX-License-Identifier: Apache-2.0
//
// Virtual time: one queue of events, taken in the order of their times. Nothing here or above reads a clock.
#ifndef BADGERBRIDGE_SIMULATOR_EVENT_QUEUE_H_
#define BADGERBRIDGE_SIMULATOR_EVENT_QUEUE_H_

#include <cstdint>
#include <queue>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::simulator {

using balancer::Duration;
using balancer::TimePoint;

// Receives what it asked for; `what`, `a` and `b` are its own words.
class Actor {
 public:
  virtual void On(TimePoint now, std::uint32_t what, std::uint64_t a, std::uint64_t b) = 0;

 protected:
  ~Actor() = default;
};

// Events of one moment come in the order in which they were asked for, or, with a tie seed, in an order drawn
// from it: a run is the same for the same seed, and another seed tries another order of ties.
class EventQueue {
 public:
  explicit EventQueue(std::uint64_t tie_seed = 0) : tie_seed_(tie_seed) {}

  // Not before now: an earlier time counts as now. The actor must outlive the queue.
  void At(TimePoint at, Actor* actor, std::uint32_t what, std::uint64_t a = 0, std::uint64_t b = 0) {
    const std::uint64_t number = ++asked_;
    heap_.push({at < now_ ? now_ : at, tie_seed_ == 0 ? number : Mix(number ^ tie_seed_), actor, a, b, what});
  }

  // Runs the first event; false if there is none at or before `until`.
  bool Step(TimePoint until) {
    if (heap_.empty() || heap_.top().at > until) return false;
    const Event event = heap_.top();
    heap_.pop();
    now_ = event.at;
    ++steps_;
    event.actor->On(now_, event.what, event.a, event.b);
    return true;
  }

  TimePoint now() const { return now_; }
  std::uint64_t steps() const { return steps_; }
  std::size_t waiting() const { return heap_.size(); }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t tie;
    Actor* actor;
    std::uint64_t a, b;
    std::uint32_t what;
  };
  struct Later {
    bool operator()(const Event& x, const Event& y) const {
      return x.at != y.at ? x.at > y.at : x.tie > y.tie;
    }
  };
  // SplitMix64's finalizer (Steele, Lea, Flood, 2014): a bijection, so that no two events tie.
  static std::uint64_t Mix(std::uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
  }

  const std::uint64_t tie_seed_;
  std::priority_queue<Event, std::vector<Event>, Later> heap_;
  TimePoint now_{};
  std::uint64_t asked_ = 0, steps_ = 0;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_EVENT_QUEUE_H_
