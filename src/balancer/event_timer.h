// SPDX-License-Identifier: Apache-2.0
/// \file
/// The one timer that the balancer asks its caller for.
#ifndef BADGERBRIDGE_BALANCER_EVENT_TIMER_H_
#define BADGERBRIDGE_BALANCER_EVENT_TIMER_H_

#include <cstdint>
#include <optional>

#include "badgerbridge/balancer.h"
#include "balancer/time_limits.h"

namespace badgerbridge::balancer {

/// Which timer is set. One that is set earlier replaces it; the later one then fires for nothing.
class EventTimer {
 public:
  /// Takes in that a timer has fired. The caller may round times: one that fires a little early must be set
  /// again, or nothing wakes an idle proxy and what it has queued is lost.
  void Fired(std::uint64_t token) {
    if (token == token_) set_for_ = kNever;
  }

  /// The action that makes sure that a timer fires at `at` or before; nothing if one is set already.
  std::optional<SetTimer> Arm(TimePoint at, TimePoint now) {
    if (now >= set_for_) set_for_ = kNever;  // that one is due
    if (at >= set_for_) return std::nullopt;
    set_for_ = at;
    ++token_;
    return SetTimer{at, token_};
  }

 private:
  TimePoint set_for_ = kNever;
  std::uint64_t token_ = 0;  // of the timer that is set
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_EVENT_TIMER_H_
