// SPDX-License-Identifier: Apache-2.0
/// \file
/// Latencies of attempts by request class, and of requests without contention.
#ifndef BADGERBRIDGE_BALANCER_LATENCY_STATS_H_
#define BADGERBRIDGE_BALANCER_LATENCY_STATS_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/ewma_stats.h"

namespace badgerbridge::balancer {

/// Share of the latency objective above which the mean latency of attempts indicates queueing.
constexpr double kMaxQueueingShare = 0.33;

/// The maximum likely value of a series of latencies: the mean plus four deviations, as in the retransmission
/// timeout of RFC 6298.
inline double MaxLikely(const EwmaStats& latency) {
  constexpr double kDeviations = 4;
  return latency.mean() + kDeviations * latency.deviation();
}

/// Latencies of attempts measured by this proxy, in ms, scaled to a request of mean work
/// (RequestStats::LatencyScale).
class LatencyStats {
 public:
  /// `class_count` is the number of request classes.
  explicit LatencyStats(std::size_t class_count) : classes_(class_count) {}

  /// Records the scaled latency of an attempt.
  void Record(int request_class, double scaled_ms);

  /// Records the latency `took_ms`, which must be positive, of a request of at least mean work.
  void RecordUncontended(double work_ms, double took_ms);

  /// All latencies of a class.
  const EwmaStats& Latency(int request_class) const {
    return classes_[static_cast<std::size_t>(request_class)].all;
  }

  /// The latencies of a class, without the influence of a few slow backends.
  const EwmaStats& BaselineLatency(int request_class) const {
    return classes_[static_cast<std::size_t>(request_class)].baseline;
  }

  /// Whether a class has enough latency samples.
  bool IsKnown(int request_class) const { return Latency(request_class).samples() >= kMinSamples; }

  /// Minimum ratio of latency to work of large requests; 0: no sample yet.
  double uncontended_time_per_work() const { return uncontended_time_per_work_; }

  /// Lowers uncontended_time_per_work. Called for each request that appears too large for its latency
  /// objective, so that a period of contention does not exclude a class permanently.
  void RelaxUncontended() { uncontended_time_per_work_ *= 1 - 5 * kUncontendedGain; }

 private:
  static constexpr int kMinSamples = 10;
  static constexpr double kUncontendedGain = 0.01;  // for higher samples; lower ones have ten times this

  struct ClassLatency {
    EwmaStats all;
    EwmaStats baseline;
  };

  std::vector<ClassLatency> classes_;
  double uncontended_time_per_work_ = 0;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_LATENCY_STATS_H_
