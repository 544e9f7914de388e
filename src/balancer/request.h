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

/// One dispatch of a request to a backend.
struct Attempt {
  BackendId backend = 0;              ///< The backend that it was sent to.
  TimePoint sent_at{};                ///< When it was dispatched.
  TimePoint previous_sent_at{};       ///< When the attempt before it was sent to the same backend.
  double slow_start_tokens_used = 0;  ///< What the backend's slow-start bucket held when it was sent.
  bool outstanding = true;            ///< Its end has not been told yet.
  bool may_have_run = true;           ///< The backend may have acted on it.
  bool overdue = false;               ///< Out for longer than is likely: not counted as in flight any more.
  bool cancelled = false;             ///< The balancer has asked for its cancellation.
};

/// A request from its submission until its last attempt has ended.
struct Request {
  RequestId id = 0;               ///< Given by the caller.
  int request_class = 0;          ///< Index into Settings::classes.
  double work_ms = 1;             ///< Estimated work on a standard core.
  double priority = 0;            ///< Weight in the queue; the largest is dispatched first.
  std::uint64_t key = 0;          ///< Idempotency key; 0: none.
  TimePoint arrived_at{};         ///< When it was submitted.
  TimePoint deadline{};           ///< When the client gives up.
  TimePoint reject_at{};          ///< While it is queued: when it is rejected.
  std::vector<Attempt> attempts;  ///< In the order of their dispatch.
  bool finished = false;          ///< It has its final answer, or needs none.
  bool streaming = false;         ///< The first bytes of an answer have reached the client.
  bool queued = false;            ///< It waits for a backend.

  /// Number of attempts whose end has not been told yet.
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
