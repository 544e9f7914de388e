// SPDX-License-Identifier: Apache-2.0
/// \file
/// How many attempts this proxy may have in flight.
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
/// Exception, when all backends together are slow: by Little's law attempts in flight are the responses a ms
/// times their latency; more than kMaxQueueingShare of the latency objective at the rate of late could only
/// queue, and more than kMaxContention times the latency without contention lets backends choke (i42a2e5).
/// The rest is queued, by priority, and rejected while an attempt elsewhere can still be of use. Attempts are
/// counted, not weighed, for the sake of huge requests.
class ConcurrencyLimit {
 public:
  /// For one proxy among `balancer_count`. The first limit leaves room for one attempt whole.
  explicit ConcurrencyLimit(int balancer_count) : balancer_count_(balancer_count) {}

  /// Averages the attempts in flight over the `passed_ms` since the last call.
  void AdvanceTime(double passed_ms) {
    mean_in_flight_ += std::min(1.0, passed_ms / kRateAveragingTime.count()) * (in_flight_ - mean_in_flight_);
  }

  /// Counts an attempt sent to `backend`.
  void AttemptStarted(Backend& backend, Random& random) {
    ++in_flight_;
    ++backend.in_flight.counted_attempts;
    fractional_slot_ = random.Unit();
  }

  /// An attempt counts as in flight no longer. `backend`: where it was sent; null: forgotten.
  void AttemptReleased(Backend* backend) {
    --in_flight_;
    if (backend != nullptr) --backend->in_flight.counted_attempts;
  }

  /// Counts a successful response.
  void RecordSuccess() { successes_.Count(); }

  /// Takes in whether a response exceeded its latency objective.
  void RecordLateness(bool late);

  /// Forgets part of the share of late responses; `elapsed_ms` since the last call.
  void DecayLateness(double elapsed_ms);

  /// Brings the rate of successes up to date; `elapsed_ms` since the last call.
  void SampleRate(double elapsed_ms) { successes_.Sample(elapsed_ms); }

  /// Whether one more attempt may be sent; `warm_backends`: the capacity, in warm backends.
  bool HasCapacity(const RequestStats& requests, const LatencyStats& latencies, double warm_backends,
                   const SlowBackends& slow_backends) const;

  /// Attempts in flight, without overdue ones.
  int in_flight() const { return in_flight_; }

 private:
  double MeanLimit(const RequestStats& requests, const LatencyStats& latencies, double warm_backends) const;
  double WeighedInFlight(double mean_limit, const SlowBackends& slow_backends) const;

  int balancer_count_;
  int in_flight_ = 0;
  double mean_in_flight_ = 0;
  double fractional_slot_ = 0;  // part of one attempt that must be free for the next; drawn at each dispatch
  double late_share_ = 0;       // of the responses lately
  RateEstimator successes_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_CONCURRENCY_LIMIT_H_
