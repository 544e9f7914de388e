// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The queue of events of a simulated run.
#ifndef BADGERBRIDGE_TESTS_FINGERPRINT_TIMELINE_H_
#define BADGERBRIDGE_TESTS_FINGERPRINT_TIMELINE_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "badgerbridge/balancer.h"

namespace badgerbridge::fingerprint {

/// Runs callbacks in the order of their times, and those of one time in the order in which they were added.
class Timeline {
 public:
  using Callback = std::function<void()>;

  /// The time of the callback that runs, or ran last.
  balancer::TimePoint now() const { return now_; }

  /// Adds a callback. One that is due in the past runs next, without turning the time back.
  void At(balancer::TimePoint time, Callback callback) { callbacks_.emplace(time, std::move(callback)); }
  void After(balancer::Duration delay, Callback callback) { At(now_ + delay, std::move(callback)); }

  /// Runs all that is due by `end`, also what is added meanwhile, and sets the time to `end`.
  void RunUntil(balancer::TimePoint end) {
    while (!callbacks_.empty() && callbacks_.begin()->first <= end) {
      const auto first = callbacks_.extract(callbacks_.begin());
      if (first.key() > now_) now_ = first.key();
      first.mapped()();
    }
    now_ = end;
  }

 private:
  balancer::TimePoint now_{};
  std::multimap<balancer::TimePoint, Callback> callbacks_;
};

}  // namespace badgerbridge::fingerprint

#endif  // BADGERBRIDGE_TESTS_FINGERPRINT_TIMELINE_H_
