// SPDX-License-Identifier: Apache-2.0
#include "balancer/request_stats.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::balancer {
namespace {

constexpr double kMaxWorkMs = 1e6;    // larger hints are clamped
constexpr double kInitialWorkMs = 1;  // assumed for a first request without a hint

}  // namespace

double RequestStats::RecordSubmit(const Submit& submit, Duration latency_objective) {
  const bool hinted = submit.has_hint && std::isfinite(submit.work_ms) && submit.work_ms > 0;
  const bool is_first = work_.samples() == 0;
  work_was_hinted_ |= hinted;
  double work_ms = is_first ? kInitialWorkMs : work_.mean();
  if (hinted) work_ms = std::min(submit.work_ms, kMaxWorkMs);
  if (hinted || is_first) {
    work_.Add(work_ms);
    class_work_[static_cast<std::size_t>(submit.request_class)].Add(work_ms);
  }
  latency_objective_.Add(latency_objective.count());
  arrivals_.Count();
  return work_ms;
}

}  // namespace badgerbridge::balancer
