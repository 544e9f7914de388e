// SPDX-License-Identifier: Apache-2.0
/// \file
/// When which request is to be looked at again.
#ifndef BADGERBRIDGE_BALANCER_WAKEUP_SCHEDULE_H_
#define BADGERBRIDGE_BALANCER_WAKEUP_SCHEDULE_H_

#include <optional>
#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/time_limits.h"

namespace badgerbridge::balancer {

/// Points in time with a request each, in order; a request may have several, and may be over by then.
class WakeupSchedule {
 public:
  /// Adds a wake-up for `request`.
  void Add(TimePoint at, RequestId request) { wakeups_.insert({at, request}); }

  /// Removes the first wake-up that is due and returns its request; nothing if none is.
  std::optional<RequestId> PopDue(TimePoint now) {
    if (wakeups_.empty() || wakeups_.begin()->at > now) return std::nullopt;
    const RequestId request = wakeups_.begin()->request;
    wakeups_.erase(wakeups_.begin());
    return request;
  }

  /// When the first wake-up is due, or kNever.
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
