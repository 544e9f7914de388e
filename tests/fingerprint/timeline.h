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

#include "fordlb/balancer.h"

namespace badgerbridge::fingerprint {

/// Runs callbacks in the order of their times, and those of one time in the order in which they were added.
class Timeline {
 public:
  using Callback = std::function<void()>;

  /// The time of the callback that runs, or ran last.
  fordlb::TimePoint now() const { return now_; }

  /// Adds a callback. One that is due in the past runs next, without turning the time back.
  void At(fordlb::TimePoint time, Callback callback) { callbacks_.emplace(time, std::move(callback)); }
  void After(fordlb::Duration delay, Callback callback) { At(now_ + delay, std::move(callback)); }

  /// Runs all that is due by `end`, also what is added meanwhile, and sets the time to `end`.
  void RunUntil(fordlb::TimePoint end) {
    while (!callbacks_.empty() && callbacks_.begin()->first <= end) {
      const auto first = callbacks_.extract(callbacks_.begin());
      if (first.key() > now_) now_ = first.key();
      first.mapped()();
    }
    now_ = end;
  }

 private:
  fordlb::TimePoint now_{};
  std::multimap<fordlb::TimePoint, Callback> callbacks_;
};

}  // namespace badgerbridge::fingerprint

#endif  // BADGERBRIDGE_TESTS_FINGERPRINT_TIMELINE_H_
