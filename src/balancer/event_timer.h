// SPDX-License-Identifier: Apache-2.0
/// \file
/// The timer that wakes up the balancer.
#ifndef BADGERBRIDGE_BALANCER_EVENT_TIMER_H_
#define BADGERBRIDGE_BALANCER_EVENT_TIMER_H_

#include <cstdint>
#include <optional>

#include "badgerbridge/balancer.h"
#include "balancer/time_limits.h"

namespace badgerbridge::balancer {

/// Tracks the pending timer. An earlier timer replaces it; the later one then still fires, without effect.
class EventTimer {
 public:
  /// Records that a timer has fired. Callers may round times: a timer that fires slightly early must be set
  /// again, or an idle proxy would not wake up and its queued requests would be lost.
  void Fired(std::uint64_t token) {
    if (token == token_) set_for_ = kNever;
  }

  /// Returns the action that sets a timer for `at`; nullopt if a timer for `at` or earlier is pending.
  std::optional<SetTimer> Arm(TimePoint at, TimePoint now) {
    if (now >= set_for_) set_for_ = kNever;  // the pending timer is due
    if (at >= set_for_) return std::nullopt;
    set_for_ = at;
    ++token_;
    return SetTimer{at, token_};
  }

 private:
  TimePoint set_for_ = kNever;
  std::uint64_t token_ = 0;  // of the pending timer
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_EVENT_TIMER_H_
