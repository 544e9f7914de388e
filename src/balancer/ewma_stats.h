// SPDX-License-Identifier: Apache-2.0
/// \file
/// Exponentially weighted mean and mean deviation.
#ifndef BADGERBRIDGE_BALANCER_EWMA_STATS_H_
#define BADGERBRIDGE_BALANCER_EWMA_STATS_H_

#include <algorithm>
#include <cmath>

namespace badgerbridge::balancer {

/// Mean and mean absolute deviation of a series, as in RFC 6298 for round-trip times. The first
/// 1 / kMinGain samples have equal weight.
class EwmaStats {
 public:
  /// Adds a sample, in the unit of the series.
  void Add(double sample) {
    ++samples_;
    const double gain = std::max(kMinGain, 1.0 / samples_);
    if (samples_ == 1) {
      mean_ = sample;
      deviation_ = sample / 2;
    }
    deviation_ += gain * (std::abs(sample - mean_) - deviation_);
    mean_ += gain * (sample - mean_);
  }

  double mean() const { return mean_; }            ///< 0 before the first sample.
  double deviation() const { return deviation_; }  ///< Mean absolute deviation; 0 before the first sample.
  int samples() const { return samples_; }         ///< Number of samples added.

 private:
  static constexpr double kMinGain = 0.02;  // weight of a sample after the first 50

  double mean_ = 0;
  double deviation_ = 0;
  int samples_ = 0;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_EWMA_STATS_H_
