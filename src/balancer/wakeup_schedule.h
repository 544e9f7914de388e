// SPDX-License-Identifier: Apache-2.0
/// \file
/// Wake-up times of requests.
#ifndef BADGERBRIDGE_BALANCER_WAKEUP_SCHEDULE_H_
#define BADGERBRIDGE_BALANCER_WAKEUP_SCHEDULE_H_

#include <optional>
#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/time_limits.h"

namespace badgerbridge::balancer {

/// Wake-ups by time. A request may have several, and may have ended before its wake-up.
class WakeupSchedule {
 public:
  /// Adds a wake-up for `request`.
  void Add(TimePoint at, RequestId request) { wakeups_.insert({at, request}); }

  /// Removes the earliest wake-up if it is due and returns its request; nullopt if none is due.
  std::optional<RequestId> PopDue(TimePoint now) {
    if (wakeups_.empty() || wakeups_.begin()->at > now) return std::nullopt;
    const RequestId request = wakeups_.begin()->request;
    wakeups_.erase(wakeups_.begin());
    return request;
  }

  /// Time of the earliest wake-up, or kNever.
  TimePoint next_at() const { return wakeups_.empty() ? kNever : wakeups_.begin()->at; }

 private:
  struct Wakeup {
    TimePoint at{};
    RequestId request = 0;

    auto operator<=>(const Wakeup&) const = default;
  };

  std::set<Wakeup> wakeups_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_WAKEUP_SCHEDULE_H_
