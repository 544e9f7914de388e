// SPDX-License-Identifier: Apache-2.0
/// \file
/// Detects backends that no longer respond to this proxy.
#ifndef BADGERBRIDGE_BALANCER_RESPONSIVENESS_H_
#define BADGERBRIDGE_BALANCER_RESPONSIVENESS_H_

#include <algorithm>
#include <array>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// Times of the last attempts and responses of one backend.
struct Responsiveness {
  /// Its last attempt timed out or is overdue, without a response since.
  bool unresponsive = false;
  /// Time of its last response, or when the first of the attempts now in flight was sent, whichever is later.
  TimePoint last_response_at{};
  /// When the latest attempt was sent to it; zero: never.
  TimePoint last_sent_at{};

  /// Records the outcome of an attempt sent at `sent_at`.
  void RecordOutcome(Outcome outcome, TimePoint sent_at) {
    if (outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kRejected) {
      const auto oldest = std::min_element(newest_answered_.begin(), newest_answered_.end());
      *oldest = std::max(*oldest, sent_at);
      unresponsive = false;
    }
    if (outcome == Outcome::kTimeout) RecordOverdue(sent_at);
  }

  /// Records that an attempt sent at `sent_at` timed out or is overdue.
  void RecordOverdue(TimePoint sent_at) { unresponsive |= last_response_at <= sent_at; }

  /// Whether the backend has answered kTrackedAnswers attempts sent after `sent_at`. An attempt sent at
  /// `sent_at` is then not merely queued: its connection has stalled.
  bool HasAnsweredLaterThan(TimePoint sent_at) const {
    return *std::min_element(newest_answered_.begin(), newest_answered_.end()) > sent_at;
  }

 private:
  static constexpr std::size_t kTrackedAnswers = 3;

  /// Send times of the latest answered attempts.
  std::array<TimePoint, kTrackedAnswers> newest_answered_{};
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_RESPONSIVENESS_H_
