// SPDX-License-Identifier: Apache-2.0
#include "balancer/latency_stats.h"

#include <algorithm>

namespace badgerbridge::balancer {

void LatencyStats::Record(int request_class, double scaled_ms) {
  ClassLatency& latency = classes_[static_cast<std::size_t>(request_class)];
  latency.all.Add(scaled_ms);
  // Latencies are capped at the maximum likely value, so that a few slow backends don't distort the baseline.
  const bool is_bounded = latency.baseline.samples() >= kMinSamples;
  const double max_ms = is_bounded ? MaxLikely(latency.baseline) : scaled_ms;
  latency.baseline.Add(std::min(scaled_ms, max_ms));
}

void LatencyStats::RecordUncontended(double work_ms, double took_ms) {
  const double time_per_work = took_ms / work_ms;
  double gain = kUncontendedGain;
  if (time_per_work < uncontended_time_per_work_) gain = 10 * kUncontendedGain;
  if (uncontended_time_per_work_ == 0) gain = 1;
  uncontended_time_per_work_ += gain * (time_per_work - uncontended_time_per_work_);
}

}  // namespace badgerbridge::balancer
