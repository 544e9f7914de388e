// SPDX-License-Identifier: Apache-2.0
/// \file
/// The balancer's records of requests and of their attempts.
#ifndef BADGERBRIDGE_BALANCER_REQUEST_H_
#define BADGERBRIDGE_BALANCER_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// Where a backend stands among those that share their deduplication of idempotency keys.
struct DeduplicationGroup {
  int zone = 0;  ///< Zone index.
  int cell = 0;  ///< Cell within the zone.
};

/// One dispatch of a request to a backend.
struct Attempt {
  BackendId backend = 0;              ///< Target backend.
  DeduplicationGroup group;           ///< Of the backend when it was sent; another process may follow it.
  TimePoint sent_at{};                ///< Time of its dispatch.
  TimePoint previous_sent_at{};       ///< When the previous attempt was sent to this backend.
  double slow_start_tokens_used = 0;  ///< Tokens taken from the backend's slow-start bucket.
  bool outstanding = true;            ///< AttemptEnded has not arrived yet.
  bool may_have_run = true;           ///< The backend may have processed it.
  bool overdue = false;               ///< Exceeded MaxCountedTime: no longer counts as in flight.
  bool cancelled = false;             ///< The balancer has emitted CancelAttempt for it.
};

/// A request from its submission until its last attempt has ended.
struct Request {
  RequestId id = 0;               ///< Chosen by the caller.
  int request_class = 0;          ///< Index into Settings::classes.
  double work_ms = 1;             ///< Estimated work in ms on a standard core.
  double priority = 0;            ///< Requests of higher priority are dispatched first.
  std::uint64_t key = 0;          ///< Hash of the idempotency key; 0: none.
  TimePoint arrived_at{};         ///< When it was submitted.
  TimePoint deadline{};           ///< When the client stops waiting.
  TimePoint reject_at{};          ///< When it is rejected if it is still queued.
  std::vector<Attempt> attempts;  ///< In dispatch order.
  bool finished = false;          ///< It has its final answer, or needs none.
  bool streaming = false;         ///< The first bytes of a response were sent to the client.
  bool queued = false;            ///< It is in the RequestQueue.

  /// Number of attempts without an AttemptEnded event.
  int OutstandingAttempts() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(),
                                          [](const Attempt& attempt) { return attempt.outstanding; }));
  }

  /// Whether an attempt was sent to `backend`.
  bool HasTried(BackendId backend) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [backend](const Attempt& attempt) { return attempt.backend == backend; });
  }
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_REQUEST_H_
