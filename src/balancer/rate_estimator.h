// SPDX-License-Identifier: Apache-2.0
/// \file
/// Estimates the rate of counted events.
#ifndef BADGERBRIDGE_BALANCER_RATE_ESTIMATOR_H_
#define BADGERBRIDGE_BALANCER_RATE_ESTIMATOR_H_

#include <algorithm>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// Averaging time of the rates of requests and of successful responses.
constexpr Duration kRateAveragingTime{1500};

/// Events per millisecond, averaged over kRateAveragingTime. The estimate starts from 0, and the first
/// samples have equal weight: a new proxy with a high initial estimate would flood the backends, whose queues
/// take far longer to drain than the start takes.
class RateEstimator {
 public:
  /// Counts one event.
  void Count() { ++events_since_sample_; }

  /// Updates the rate with the events counted within the last `elapsed_ms`, which must be positive.
  void Sample(double elapsed_ms) {
    ++samples_;
    const double gain = std::min(1.0, std::max(elapsed_ms / kRateAveragingTime.count(), 1.0 / samples_));
    per_ms_ += gain * (events_since_sample_ / elapsed_ms - per_ms_);
    events_since_sample_ = 0;
  }

  double per_ms() const { return per_ms_; }  ///< Events per millisecond as of the last sample.

 private:
  double events_since_sample_ = 0;
  double per_ms_ = 0;
  int samples_ = 0;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_RATE_ESTIMATOR_H_
