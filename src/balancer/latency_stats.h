// SPDX-License-Identifier: Apache-2.0
/// \file
/// Latencies of attempts, by request class, and of requests that meet no contention.
#ifndef BADGERBRIDGE_BALANCER_LATENCY_STATS_H_
#define BADGERBRIDGE_BALANCER_LATENCY_STATS_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/ewma_stats.h"

namespace badgerbridge::balancer {

/// Share of the latency objective that an attempt may take in the mean before it counts as queueing.
constexpr double kMaxQueueingShare = 0.33;

/// The longest that is likely for one of a series of latencies: mean and four deviations, as RFC 6298 has its
/// retransmission time-out.
inline double MaxLikely(const EwmaStats& latency) {
  constexpr double kDeviations = 4;
  return latency.mean() + kDeviations * latency.deviation();
}

/// What this proxy has seen of the latencies of attempts. All are scaled to a request of mean work
/// (RequestStats::LatencyScale), in ms.
class LatencyStats {
 public:
  /// For `class_count` request classes.
  explicit LatencyStats(std::size_t class_count) : classes_(class_count) {}

  /// Takes in the scaled latency of an attempt.
  void Record(int request_class, double scaled_ms);

  /// Takes in that a request of at least mean work took `took_ms`, which must be positive.
  void RecordUncontended(double work_ms, double took_ms);

  /// All latencies of a class.
  const EwmaStats& Latency(int request_class) const {
    return classes_[static_cast<std::size_t>(request_class)].all;
  }

  /// The latencies of a class at usual backends.
  const EwmaStats& BaselineLatency(int request_class) const {
    return classes_[static_cast<std::size_t>(request_class)].baseline;
  }

  /// Whether enough is known of how long a class takes.
  bool IsKnown(int request_class) const { return Latency(request_class).samples() >= kMinSamples; }

  /// Time over work that large requests take at the least; 0: nothing is known yet.
  double uncontended_time_per_work() const { return uncontended_time_per_work_; }

  /// Lowers uncontended_time_per_work. Called for each request that it judges too large for its latency
  /// objective: a spell of contention must not shut a class out for good.
  void RelaxUncontended() { uncontended_time_per_work_ *= 1 - 5 * kUncontendedGain; }

 private:
  static constexpr int kMinSamples = 10;            // below, nothing is known of how long a class takes
  static constexpr double kUncontendedGain = 0.01;  // of a slower response; of a faster one ten times that

  struct ClassLatency {
    EwmaStats all;
    EwmaStats baseline;
  };

  std::vector<ClassLatency> classes_;
  double uncontended_time_per_work_ = 0;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_LATENCY_STATS_H_
