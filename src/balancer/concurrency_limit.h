// SPDX-License-Identifier: Apache-2.0
/// \file
/// Limits the attempts of this proxy in flight.
#ifndef BADGERBRIDGE_BALANCER_CONCURRENCY_LIMIT_H_
#define BADGERBRIDGE_BALANCER_CONCURRENCY_LIMIT_H_

#include <algorithm>

#include "badgerbridge/balancer.h"
#include "balancer/backend.h"
#include "balancer/latency_stats.h"
#include "balancer/random.h"
#include "balancer/rate_estimator.h"
#include "balancer/request_stats.h"
#include "balancer/slow_backends.h"

namespace badgerbridge::balancer {

/// Counts the attempts in flight and limits them.
///
/// Exception, when all backends together are slow: by Little's law, the attempts in flight equal the response
/// rate times the latency. The limit is the recent response rate times the smaller of two latencies: attempts
/// beyond kMaxQueueingShare of the latency objective would only wait at the backends, and attempts beyond
/// kMaxLatencyOverUncontended times the latency without contention overload the backends (i42a2e5). Further
/// requests are queued by priority, and rejected while the client can still succeed elsewhere. Attempts are
/// counted and not weighted by work, so that huge requests are not excluded.
class ConcurrencyLimit {
 public:
  /// Creates the limit of one proxy among `balancer_count`. Initially, it leaves room for one whole
  /// attempt.
  explicit ConcurrencyLimit(int balancer_count) : balancer_count_(balancer_count) {}

  /// Updates the mean number in flight; `elapsed_ms` is the time since the last call.
  void AdvanceTime(double elapsed_ms) {
    mean_in_flight_ +=
        std::min(1.0, elapsed_ms / kRateAveragingTime.count()) * (in_flight_ - mean_in_flight_);
  }

  /// Counts an attempt sent to `backend`.
  void AttemptStarted(Backend& backend, Random& random) {
    ++in_flight_;
    ++backend.in_flight.counted_attempts;
    fractional_slot_ = random.Unit();
  }

  /// Stops counting an attempt sent to `backend`, which is null if it was removed.
  void AttemptReleased(Backend* backend) {
    --in_flight_;
    if (backend != nullptr) --backend->in_flight.counted_attempts;
  }

  /// Counts a successful response.
  void RecordSuccess() { successes_.Count(); }

  /// Records whether a response exceeded its latency objective.
  void RecordLateness(bool late);

  /// Decays the share of late responses; `elapsed_ms` is the time since the last call.
  void DecayLateness(double elapsed_ms);

  /// Updates the rate of successful responses; `elapsed_ms` is the time since the last call.
  void SampleRate(double elapsed_ms) { successes_.Sample(elapsed_ms); }

  /// Whether another attempt may be sent. `warm_backends` is the capacity, in units of a warm backend.
  bool HasCapacity(const RequestStats& requests, const LatencyStats& latencies, double warm_backends,
                   const SlowBackends& slow_backends) const;

  /// Attempts in flight, excluding overdue ones.
  int in_flight() const { return in_flight_; }

 private:
  double MeanLimit(const RequestStats& requests, const LatencyStats& latencies, double warm_backends) const;
  double WeightedInFlight(double mean_limit, const SlowBackends& slow_backends) const;

  int balancer_count_;
  int in_flight_ = 0;
  double mean_in_flight_ = 0;
  double fractional_slot_ = 0;  // in [0, 1); drawn at each dispatch
  double late_share_ = 0;       // of recent responses
  RateEstimator successes_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_CONCURRENCY_LIMIT_H_
