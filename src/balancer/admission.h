// SPDX-License-Identifier: Apache-2.0
/// \file
/// Load shedding: with which priority a request is admitted, and how long it may wait in the queue.
#ifndef BADGERBRIDGE_BALANCER_ADMISSION_H_
#define BADGERBRIDGE_BALANCER_ADMISSION_H_

#include "badgerbridge/balancer.h"
#include "balancer/latency_stats.h"
#include "balancer/request.h"

namespace badgerbridge::balancer {

/// The time that a request has.
struct TimeBudget {
  Duration class_objective{0};  ///< The latency objective of its class.
  Duration objective_left{0};   ///< What is left of it; below 0: it has passed.
  TimePoint deadline{};         ///< When the client gives up.
};

/// The priority of a request whose weight is `weight` if it is in time. One that is too large to be in time
/// has `late_weight` of it, or none: it must not take the place of others. Each such finding weakens the
/// next one (LatencyStats::RelaxUncontended).
double Priority(double weight, double late_weight, double work_ms, const TimeBudget& budget, TimePoint now,
                LatencyStats& latencies);

/// When a queued request is rejected: while the client can still be served by another attempt. `tick` is the
/// caller's clock resolution.
TimePoint RejectTime(const TimeBudget& budget, const EwmaStats& latency, Duration tick, TimePoint now);

/// Exception, where clients honour Retry-After: one whose latency objective could not be met would come back
/// only to be late, and take the place of one in time. It is told to stay away for as long as it would have
/// come back.
Duration RetryAfter(const Settings& settings, int request_class);

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ADMISSION_H_
