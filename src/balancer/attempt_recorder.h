// SPDX-License-Identifier: Apache-2.0
/// \file
/// Updates the statistics of the modules when an attempt ends.
#ifndef BADGERBRIDGE_BALANCER_ATTEMPT_RECORDER_H_
#define BADGERBRIDGE_BALANCER_ATTEMPT_RECORDER_H_

#include "badgerbridge/balancer.h"
#include "balancer/backend.h"
#include "balancer/concurrency_limit.h"
#include "balancer/latency_stats.h"
#include "balancer/request.h"
#include "balancer/request_stats.h"
#include "balancer/slow_backends.h"
#include "balancer/warm_capacity.h"
#include "balancer/zone_quota.h"

namespace badgerbridge::balancer {

/// Releases the load of an ended attempt and records its outcome for its backend, its request class and all
/// backends together. Stateless.
class AttemptRecorder {
 public:
  /// Keeps references to all arguments, which must outlive it.
  AttemptRecorder(const Settings& settings, const RequestStats& requests, const WarmCapacity& warm_capacity,
                  const SlowBackends& slow_backends, LatencyStats& latencies, ConcurrencyLimit& concurrency,
                  ZoneQuotaBuckets& zone_quotas)
      : settings_(settings),
        requests_(requests),
        warm_capacity_(warm_capacity),
        slow_backends_(slow_backends),
        latencies_(latencies),
        concurrency_(concurrency),
        zone_quotas_(zone_quotas) {}

  /// Records the end of `attempt` of `request` at `backend`. Returns whether it was counted for outlier
  /// detection, which must then be evaluated again.
  bool Record(const Request& request, const Attempt& attempt, const AttemptEnded& ended, Backend& backend,
              TimePoint now);

 private:
  void ReleaseLoad(const Request& request, const Attempt& attempt, Outcome outcome, Backend& backend,
                   TimePoint now);
  void RefundUnsent(const Request& request, const Attempt& attempt, Backend& backend);
  void RecordLatency(const Request& request, double took_ms, Backend& backend, TimePoint now);

  const Settings& settings_;
  const RequestStats& requests_;
  const WarmCapacity& warm_capacity_;
  const SlowBackends& slow_backends_;
  LatencyStats& latencies_;
  ConcurrencyLimit& concurrency_;
  ZoneQuotaBuckets& zone_quotas_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ATTEMPT_RECORDER_H_
