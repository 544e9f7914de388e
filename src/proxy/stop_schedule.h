// SPDX-License-Identifier: Apache-2.0
//
// The times of a graceful stop.
#ifndef BADGERBRIDGE_PROXY_STOP_SCHEDULE_H_
#define BADGERBRIDGE_PROXY_STOP_SCHEDULE_H_

#include <chrono>

#include "proxy/balancer_types.h"
#include "proxy/listener_limits.h"

namespace badgerbridge::proxy {

/// When the phases of a stop end (docs/design.md, "Race conditions"). While no stop has begun, each lies far
/// in the future. Pure: the caller passes the time.
class StopSchedule {
 public:
  /// `longest_deadline`: of all request classes.
  StopSchedule(const ListenerLimits& limits, Duration longest_deadline)
      : limits_(limits), longest_deadline_(longest_deadline) {}

  /// Begins the stop.
  void Begin(TimePoint now);
  /// Whether the stop has begun.
  bool has_begun() const { return has_begun_; }

  /// When all requests have to be answered.
  TimePoint LastAnswer() const;
  /// From `now` until LastAnswer(), at most an hour.
  std::chrono::milliseconds UntilLastAnswer(TimePoint now) const;
  /// From `now` until no further request is awaited, at most an hour.
  std::chrono::milliseconds UntilServingEnds(TimePoint now) const;
  /// Whether connections that could not be accepted yet, for want of descriptors or memory, are tried again
  /// before the listener closes. Requires that the stop has begun.
  bool MayRetryAccept(TimePoint now) const { return now < began_at_ + 2 * Duration(limits_.accept_grace); }

 private:
  ListenerLimits limits_;
  Duration longest_deadline_;
  TimePoint began_at_{};
  bool has_begun_ = false;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_STOP_SCHEDULE_H_
