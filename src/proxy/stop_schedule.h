// SPDX-License-Identifier: Apache-2.0
//
// Deadlines of the phases of a graceful stop.
#ifndef BADGERBRIDGE_PROXY_STOP_SCHEDULE_H_
#define BADGERBRIDGE_PROXY_STOP_SCHEDULE_H_

#include <chrono>

#include "proxy/balancer_types.h"
#include "proxy/listener_limits.h"

namespace badgerbridge::proxy {

/// When the phases of a stop end (docs/design.md, "Race conditions"). Before a stop begins, each end lies far
/// in the future. Reads no clock: the caller passes the time.
class StopSchedule {
 public:
  /// `longest_deadline` is the longest deadline of all request classes.
  StopSchedule(const ListenerLimits& limits, Duration longest_deadline)
      : limits_(limits), longest_deadline_(longest_deadline) {}

  /// Begins the stop; all phases count from `now`.
  void Begin(TimePoint now);
  /// Whether the stop has begun.
  bool has_begun() const { return has_begun_; }

  /// When all requests must have been answered.
  TimePoint AnswerDeadline() const;
  /// From `now` until AnswerDeadline(), at most an hour.
  std::chrono::milliseconds UntilAnswerDeadline(TimePoint now) const;
  /// From `now` until no further requests are awaited, at most an hour.
  std::chrono::milliseconds UntilServingEnds(TimePoint now) const;
  /// Whether the listener stays open for connections that could not be accepted, for lack of descriptors or
  /// memory or at the limit of clients. Closing it would reset them.
  bool MayRetryAccept(TimePoint now) const { return now < AnswerDeadline(); }

 private:
  ListenerLimits limits_;
  Duration longest_deadline_;
  TimePoint began_at_{};
  bool has_begun_ = false;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_STOP_SCHEDULE_H_
