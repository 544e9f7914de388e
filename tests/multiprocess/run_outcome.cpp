// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/run_outcome.h"

#include <algorithm>

#include "simulator/slow_start_checker.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr double kMaxReadyMs = 10000;  // after a restart
constexpr double kMinReadyShare = 0.9;
// Proxies' views are polled one after another, within 150 ms: a bound to the last digit is the random test's.
constexpr double kMaxQuotaRatio = 1.1;
constexpr double kMaxSeconds = 1e5;

bool IsSuccessful(const DecisionAudit& audit) { return audit.out_of_order + audit.unfenced == 0; }

// None where the plan's backends never fail under overload.
std::optional<SlowStartRules> SlowStartRulesFrom(const simulator::Model& model) {
  const simulator::BackendModel& backend = model.backend;
  if (backend.overload_factor <= 0 || backend.slow_start_window.count() <= 0) return std::nullopt;
  const double mean_work_ms = model.MeanWork();
  SlowStartRules rules;
  rules.budget_window_ms = backend.overload_duration.count();
  rules.duration_ms = backend.slow_start_window.count();
  rules.mean_work_ms = mean_work_ms;
  rules.budget = [backend, mean_work_ms](double age_ms) {
    return simulator::AllowedCalls(backend, mean_work_ms, balancer::Duration(age_ms));
  };
  return rules;
}

}  // namespace

double RunOutcome::ReadyShare() const {
  if (restart_times_ms.empty()) return 1;
  const auto in_time =
      std::count_if(restart_times_ms.begin(), restart_times_ms.end(),
                    [](const std::optional<double>& time_ms) { return time_ms && *time_ms <= kMaxReadyMs; });
  return static_cast<double>(in_time) / static_cast<double>(restart_times_ms.size());
}

double RunOutcome::EarnedShare() const {
  return verdict.offered_weight > 0 ? verdict.earned_weight / verdict.offered_weight : 0;
}

bool RunOutcome::Passed() const {
  return verdict.Passed() && faults.empty() && IsSuccessful(audit) && max_quota_ratio <= kMaxQuotaRatio &&
         ReadyShare() >= kMinReadyShare;
}

VerdictRules RulesFrom(const simulator::Model& model) {
  VerdictRules rules;
  for (const simulator::ClassModel& request_class : model.classes) {
    rules.classes.push_back({request_class.rules.idempotency, request_class.rules.priority_weight,
                             request_class.rules.latency_objective.count(), request_class.rules.late_weight});
  }
  rules.drain_grace_ms = model.drain_grace.count();
  rules.link_delay_ms = 2 * model.cross_region_latency.count();
  rules.slow_start = SlowStartRulesFrom(model);
  for (const simulator::MultiprocessFault& fault : model.multiprocess.faults) {
    if (fault.name == "delay") rules.link_delay_ms += 2 * fault.value;
    if (fault.name == "trickle") rules.has_prompt_links = false;
  }
  for (const simulator::ScenarioEvent& happening : model.events) {
    if (happening.kind == simulator::ScenarioEvent::Kind::kCut) rules.has_prompt_links = false;
  }
  rules.max_transit_ms += rules.link_delay_ms;
  return rules;
}

std::vector<SecondSummary> SummarizeSeconds(const std::vector<RequestRecord>& requests,
                                            double load_began_ms) {
  std::vector<SecondSummary> seconds;
  for (const RequestRecord& request : requests) {
    const double second = std::max(0.0, (request.sent_at_ms - load_began_ms) / 1000);
    if (!(second < kMaxSeconds)) continue;
    const auto index = static_cast<std::size_t>(second);
    if (seconds.size() <= index) seconds.resize(index + 1);
    SecondSummary& summary = seconds[index];
    ++summary.requests;
    summary.served += request.outcome == RequestOutcome::kServed;
    summary.rejected += request.outcome == RequestOutcome::kRejected;
    summary.failed += request.outcome == RequestOutcome::kFailed || request.outcome == RequestOutcome::kLost;
  }
  return seconds;
}

}  // namespace badgerbridge::multiprocess
