// SPDX-License-Identifier: Apache-2.0
#include "balancer/admission.h"

#include <algorithm>
#include <cstddef>

namespace badgerbridge::balancer {
namespace {

// A request that is rejected before half of its time has passed can still succeed elsewhere.
constexpr double kMaxQueuedShareOfDeadline = 0.45;
// A request may be queued for at least its latency objective divided by this.
constexpr int kMinQueueTimeDivisor = 4;
constexpr int kDeadlineMarginTicks = 2;

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
  const TimePoint reject_at = std::min(budget.deadline - tick * kDeadlineMarginTicks,
                                       now + std::max(useful, budget.class_objective / kMinQueueTimeDivisor));
  return std::min(reject_at, now + (budget.deadline - now) * kMaxQueuedShareOfDeadline);
}

Duration RetryAfter(const Settings& settings, int request_class) {
  const ClassSettings& class_settings = settings.classes[static_cast<std::size_t>(request_class)];
  return std::min(settings.max_retry_after, class_settings.deadline);
}

}  // namespace badgerbridge::balancer
