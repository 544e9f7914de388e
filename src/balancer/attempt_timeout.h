// SPDX-License-Identifier: Apache-2.0
/// \file
/// Timeouts of attempts.
#ifndef BADGERBRIDGE_BALANCER_ATTEMPT_TIMEOUT_H_
#define BADGERBRIDGE_BALANCER_ATTEMPT_TIMEOUT_H_

#include "badgerbridge/balancer.h"
#include "balancer/backend.h"
#include "balancer/latency_stats.h"
#include "balancer/request.h"
#include "balancer/request_stats.h"

namespace badgerbridge::balancer {

/// Derives timeouts from measured latencies. Stateless.
class AttemptTimeouts {
 public:
  /// Keeps references to all arguments, which must outlive it.
  AttemptTimeouts(const Settings& settings, const RequestStats& requests, const LatencyStats& latencies)
      : settings_(settings), requests_(requests), latencies_(latencies) {}

  /// The timeout of an attempt of `request` at `backend`; 0: none before the client's deadline.
  Duration TimeoutFor(const Request& request, const Backend& backend, TimePoint now) const;

  /// How long an attempt counts towards the concurrency limit.
  Duration MaxCountedTime(const Request& request, bool many_warming_up) const;

  /// Whether attempts of `request` can become overdue, which requires enough latency samples of its class.
  bool IsBounded(const Request& request) const { return latencies_.IsKnown(request.request_class); }

  /// Whether a retry of an attempt in flight is permitted by the settings and can meet the deadline.
  bool RetryWouldHelp(const Request& request, TimePoint now) const;

 private:
  double LatencyScale(const Request& request) const {
    return requests_.LatencyScale(request.request_class, request.work_ms);
  }
  Duration ExpectedLatency(const Request& request) const;
  Duration MaxLikelyLatency(const Request& request) const;
  const ClassSettings& ClassOf(const Request& request) const;

  const Settings& settings_;
  const RequestStats& requests_;
  const LatencyStats& latencies_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ATTEMPT_TIMEOUT_H_
