// SPDX-License-Identifier: Apache-2.0
/// \file
/// Load shedding: the priority at which a request is admitted and its maximum queueing time.
#ifndef BADGERBRIDGE_BALANCER_ADMISSION_H_
#define BADGERBRIDGE_BALANCER_ADMISSION_H_

#include "badgerbridge/balancer.h"
#include "balancer/latency_stats.h"
#include "balancer/request.h"

namespace badgerbridge::balancer {

/// The time left to answer a request.
struct TimeBudget {
  Duration class_objective{0};  ///< The latency objective of its class.
  Duration objective_left{0};   ///< Time left of the objective; negative: exceeded.
  TimePoint deadline{};         ///< When the client stops waiting.
};

/// The priority of a request, `weight` if it can meet its latency objective. A request too large for its
/// objective gets the share `late_weight` of it, and 0 if it is too large for its deadline, so that it does
/// not displace other requests. Each request too large for its class objective lowers the latency estimate
/// (LatencyStats::RelaxUncontended).
double Priority(double weight, double late_weight, double work_ms, const TimeBudget& budget, TimePoint now,
                LatencyStats& latencies);

/// When a queued request is rejected: early enough for the client to succeed with another attempt. `tick` is
/// the resolution of the caller's clock.
TimePoint RejectTime(const TimeBudget& budget, const EwmaStats& latency, Duration tick, TimePoint now);

/// Exception, where clients honour Retry-After: a client whose latency objective cannot be met any more would
/// retry, get a late answer and displace a request that can be in time. The advised wait covers the time in
/// which it would retry.
Duration RetryAfter(const Settings& settings, int request_class);

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ADMISSION_H_
