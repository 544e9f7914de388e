// SPDX-License-Identifier: Apache-2.0
/// \file
/// Passes the end of an attempt on to the modules that learn from it.
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

/// Releases what an attempt held, and takes in what its outcome tells of its backend, of its request class
/// and of all backends together. Holds no state of its own.
class AttemptRecorder {
 public:
  /// Keeps references to all, which must outlive it.
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

  /// Takes in that `attempt` of `request` at `backend` has ended. Returns whether that says anything of the
  /// backend, so that its outlier detection may give a new verdict.
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
