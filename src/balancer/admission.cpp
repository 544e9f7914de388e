// SPDX-License-Identifier: Apache-2.0
#include "balancer/admission.h"

#include <algorithm>
#include <cstddef>

namespace badgerbridge::balancer {
namespace {

constexpr double kMaxQueuedShare = 0.45;  // of a client's time: early enough to try elsewhere
constexpr int kMinObjectiveParts = 4;     // a request may be queued for one of so many parts of its objective
constexpr int kMarginTicks = 2;           // before the deadline

}  // namespace

double Priority(double weight, double late_weight, double work_ms, const TimeBudget& budget, TimePoint now,
                LatencyStats& latencies) {
  const Duration uncontended(work_ms * latencies.uncontended_time_per_work());
  double priority = weight;
  if (uncontended > budget.objective_left) {
    priority *= now + uncontended > budget.deadline ? 0 : late_weight;
  }
  if (uncontended > budget.class_objective) latencies.RelaxUncontended();
  return priority;
}

TimePoint RejectTime(const TimeBudget& budget, const EwmaStats& latency, Duration tick, TimePoint now) {
  const Duration useful = budget.objective_left - Duration(latency.mean() + latency.deviation());
  const TimePoint reject_at = std::min(budget.deadline - tick * kMarginTicks,
                                       now + std::max(useful, budget.class_objective / kMinObjectiveParts));
  return std::min(reject_at, now + (budget.deadline - now) * kMaxQueuedShare);
}

Duration RetryAfter(const Settings& settings, int request_class) {
  const ClassSettings& class_settings = settings.classes[static_cast<std::size_t>(request_class)];
  return std::min(settings.max_retry_after, class_settings.deadline);
}

}  // namespace badgerbridge::balancer
