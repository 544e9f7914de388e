// SPDX-License-Identifier: Apache-2.0
/// \file
/// Statistics of all submitted requests, including rejected ones.
#ifndef BADGERBRIDGE_BALANCER_REQUEST_STATS_H_
#define BADGERBRIDGE_BALANCER_REQUEST_STATS_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/ewma_stats.h"
#include "balancer/rate_estimator.h"

namespace badgerbridge::balancer {

/// Work, latency objectives and arrival rate of submitted requests.
class RequestStats {
 public:
  /// `class_count` is the number of request classes.
  explicit RequestStats(std::size_t class_count) : class_work_(class_count) {}

  /// Records a request of a known class with its `latency_objective`, and returns its estimated work in ms on
  /// a standard core: its hint if usable, otherwise the mean of all requests.
  double RecordSubmit(const Submit& submit, Duration latency_objective);

  /// Updates the arrival rate; `elapsed_ms` is the time since the last call.
  void SampleRate(double elapsed_ms) { arrivals_.Sample(elapsed_ms); }

  /// Mean work of a request in ms; 0 before the first request.
  double mean_work_ms() const { return work_.mean(); }

  /// Mean latency objective of a request in ms; 0 before the first request.
  double mean_objective_ms() const { return latency_objective_.mean(); }

  /// Whether any request had a usable work hint.
  bool work_was_hinted() const { return work_was_hinted_; }

  /// Requests submitted per millisecond.
  double arrivals_per_ms() const { return arrivals_.per_ms(); }

  /// Expected latency of a request with `work_ms`, relative to a mean request of its class. For requests
  /// smaller than the mean, half of the latency is assumed to be independent of the work.
  double LatencyScale(int request_class, double work_ms) const {
    const double mean = class_work_[static_cast<std::size_t>(request_class)].mean();
    const double ratio = mean > 0 ? work_ms / mean : 1;
    return ratio > 1 ? ratio : 0.5 + 0.5 * ratio;
  }

 private:
  std::vector<EwmaStats> class_work_;
  EwmaStats work_;
  EwmaStats latency_objective_;
  RateEstimator arrivals_;
  bool work_was_hinted_ = false;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_REQUEST_STATS_H_
