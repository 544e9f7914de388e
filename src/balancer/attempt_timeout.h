// SPDX-License-Identifier: Apache-2.0
/// \file
/// How long attempts are waited for.
#ifndef BADGERBRIDGE_BALANCER_ATTEMPT_TIMEOUT_H_
#define BADGERBRIDGE_BALANCER_ATTEMPT_TIMEOUT_H_

#include "badgerbridge/balancer.h"
#include "balancer/backend.h"
#include "balancer/latency_stats.h"
#include "balancer/request.h"
#include "balancer/request_stats.h"

namespace badgerbridge::balancer {

/// Derives time-outs from the latencies seen. Holds no state of its own.
class AttemptTimeouts {
 public:
  /// Keeps references to all three, which must outlive it.
  AttemptTimeouts(const Settings& settings, const RequestStats& requests, const LatencyStats& latencies)
      : settings_(settings), requests_(requests), latencies_(latencies) {}

  /// The time-out of an attempt of `request` at `backend`; 0: none short of the client's own.
  Duration TimeoutFor(const Request& request, const Backend& backend, TimePoint now) const;

  /// For how long an attempt counts as in flight.
  Duration MaxCountedTime(const Request& request, bool many_warming_up) const;

  /// Whether attempts of `request` can become overdue: enough is known of its class.
  bool IsBounded(const Request& request) const { return latencies_.IsKnown(request.request_class); }

  /// Whether the settings permit a retry of an attempt that is out, and it would come in time.
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
