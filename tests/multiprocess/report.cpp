// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/report.h"

#include <algorithm>
#include <cstdio>

namespace badgerbridge::multiprocess {

namespace {

// " name=value" with so many decimals.
std::string Field(const char* name, double value, int decimals) {
  char text[64];
  std::snprintf(text, sizeof text, " %s=%.*f", name, decimals, value);
  return text;
}

std::string Field(const char* name, std::uint64_t value) {
  return std::string(" ") + name + "=" + std::to_string(value);
}

std::string PlanAndSeed(const simulator::Model& model, std::uint64_t seed) {
  return "trial: plan=\"" + model.name + "\"" + Field("seed", seed);
}

std::string VerdictFields(const Verdict& verdict) {
  return Field("requests", verdict.requests) + Field("served", verdict.served) +
         Field("refused", verdict.rejected) + Field("failed", verdict.failed) +
         Field("unsent", verdict.unsent) + Field("excused", verdict.excused) +
         Field("unjudged", verdict.unjudged) + Field("lost", verdict.lost) +
         Field("doubled", verdict.wrong_responses) + Field("twice", verdict.repeated_effects) +
         Field("late_sends", verdict.sends_after_drain) +
         Field("after_departure", verdict.sends_after_disconnect) +
         Field("too_long", verdict.excess_deadlines) + Field("fell", verdict.overloaded_backends) +
         Field("unaccounted", verdict.unaccounted);
}

std::string ZoneFailoverFields(const RunOutcome& outcome) {
  return Field("epoch", outcome.epoch) + Field("decisions", outcome.audit.decisions) +
         Field("disorder", outcome.audit.out_of_order) + Field("unfenced", outcome.audit.unfenced) +
         Field("worst_receiver", outcome.max_quota_ratio, 3);
}

std::string SlowStartFields(const Verdict& verdict) {
  return Field("cold_starts", verdict.slow_starts) + Field("over_cold", verdict.slow_start_violations) +
         Field("worst_cold", verdict.max_slow_start_ratio, 2);
}

std::string RestartFields(const RunOutcome& outcome) {
  constexpr double kNeverReady = -1;
  double slowest_ms = kNeverReady;
  for (const std::optional<double>& time_ms : outcome.restart_times_ms)
    slowest_ms = std::max(slowest_ms, time_ms.value_or(kNeverReady));
  return Field("restarts", outcome.restart_times_ms.size()) + Field("ready_share", outcome.ReadyShare(), 2) +
         Field("slowest_ready_ms", slowest_ms, 0);
}

std::string StallFields(const RunOutcome& outcome) {
  const Verdict& verdict = outcome.verdict;
  return Field("stalls", outcome.stalls) + Field("left", verdict.cancelled) + Field("late", verdict.late) +
         Field("crossed", verdict.close_races) + Field("raced", verdict.stop_races) +
         Field("stops_at_work", outcome.stalls_at_work);
}

// What only some plans have.
std::string OptionalFields(const simulator::Model& model, const RunOutcome& outcome) {
  std::string fields;
  if (model.multiprocess.runs_zone_failover) fields += ZoneFailoverFields(outcome);
  if (outcome.verdict.slow_starts > 0) fields += SlowStartFields(outcome.verdict);
  if (!outcome.restart_times_ms.empty()) fields += RestartFields(outcome);
  if (model.multiprocess.raw_clients > 0) fields += StallFields(outcome);
  if (outcome.verdict.repeats_after_kill > 0)
    fields += Field("after_kill", outcome.verdict.repeats_after_kill);
  return fields;
}

std::string SecondsTable(const std::vector<SecondSummary>& seconds) {
  char line[128];
  std::snprintf(line, sizeof line, "%8s %8s %8s %8s %8s\n", "second", "requests", "served", "rejected",
                "failed");
  std::string table = line;
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    const SecondSummary& second = seconds[i];
    std::snprintf(
        line, sizeof line, "%8zu %8llu %8llu %8llu %8llu\n", i,
        static_cast<unsigned long long>(second.requests), static_cast<unsigned long long>(second.served),
        static_cast<unsigned long long>(second.rejected), static_cast<unsigned long long>(second.failed));
    table += line;
  }
  return table;
}

}  // namespace

bool HasPassed(const simulator::Model& model, const RunOutcome& outcome) {
  return outcome.Passed() && 100 * outcome.EarnedShare() >= model.multiprocess.min_weight_percent;
}

std::string DetailsOf(const RunOutcome& outcome) {
  std::string details;
  for (const std::string& line : outcome.timeline) details += line + "\n";
  details += SecondsTable(outcome.seconds);
  for (const ProcessFault& fault : outcome.faults) details += "TROUBLE: " + Message(fault) + "\n";
  for (const std::string& line : outcome.verdict.violations) details += "BROKEN: " + line + "\n";
  return details;
}

std::string SummaryLine(const simulator::Model& model, std::uint64_t seed, const RunOutcome& outcome,
                        double elapsed_ms) {
  return PlanAndSeed(model, seed) + Field("processes", outcome.processes) + VerdictFields(outcome.verdict) +
         Field("troubles", outcome.faults.size()) + Field("worth", outcome.EarnedShare(), 3) +
         Field("seconds", elapsed_ms / 1000, 1) + OptionalFields(model, outcome) +
         (HasPassed(model, outcome) ? " holds" : " BROKEN");
}

std::string FailureLine(const simulator::Model& model, std::uint64_t seed, const std::string& reason) {
  return PlanAndSeed(model, seed) + " did not run: " + reason;
}

}  // namespace badgerbridge::multiprocess
