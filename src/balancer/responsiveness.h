// SPDX-License-Identifier: Apache-2.0
/// \file
/// Whether a backend still responds to this proxy at all.
#ifndef BADGERBRIDGE_BALANCER_RESPONSIVENESS_H_
#define BADGERBRIDGE_BALANCER_RESPONSIVENESS_H_

#include <algorithm>
#include <array>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// When a backend was last sent an attempt and when it last responded. Per backend.
struct Responsiveness {
  /// Its last attempt timed out or is overdue, and there was no response since.
  bool unresponsive = false;
  /// Its last response, or when the first of the attempts that are out now was sent, if that is later.
  TimePoint last_response_at{};
  /// When the newest attempt was sent to it; zero: never.
  TimePoint last_sent_at{};

  /// Takes in how an attempt that was sent at `sent_at` ended.
  void RecordOutcome(Outcome outcome, TimePoint sent_at) {
    if (outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kRejected) {
      const auto oldest = std::min_element(newest_answered_.begin(), newest_answered_.end());
      *oldest = std::max(*oldest, sent_at);
      unresponsive = false;
    }
    if (outcome == Outcome::kTimeout) RecordOverdue(sent_at);
  }

  /// Takes in that an attempt that was sent at `sent_at` is out for longer than is likely.
  void RecordOverdue(TimePoint sent_at) { unresponsive |= last_response_at <= sent_at; }

  /// Whether the backend has answered so many attempts that were sent after `sent_at` that one sent then
  /// waits for something else than its turn: its connection has stalled.
  bool HasAnsweredLaterThan(TimePoint sent_at) const {
    return *std::min_element(newest_answered_.begin(), newest_answered_.end()) > sent_at;
  }

 private:
  static constexpr std::size_t kAnsweredAttempts = 3;

  /// When the newest of the attempts that it has answered were sent.
  std::array<TimePoint, kAnsweredAttempts> newest_answered_{};
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_RESPONSIVENESS_H_
