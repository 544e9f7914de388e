// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The outcome of a multi-process run, and the rules that its plan sets.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_RUN_OUTCOME_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_RUN_OUTCOME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "multiprocess/error.h"
#include "multiprocess/messages.h"
#include "multiprocess/verdict.h"
#include "simulator/model.h"

namespace badgerbridge::multiprocess {

/// Of the attempts that clients began in one second of the load.
struct SecondSummary {
  std::uint64_t requests = 0;  ///< All.
  std::uint64_t served = 0;    ///< Answered with 200.
  std::uint64_t rejected = 0;  ///< Answered with 429 or 503.
  std::uint64_t failed = 0;    ///< Answered with another status, or lost.
};

/// What a run gave.
struct RunOutcome {
  std::vector<SecondSummary> seconds;  ///< By second of the load.
  Verdict verdict;                     ///< Of the history.
  std::size_t processes = 0;           ///< Started in all.
  std::vector<std::string> timeline;   ///< What was done and observed, for people.
  std::vector<ProcessFault> faults;    ///< Of processes.
  DecisionAudit audit;                 ///< Of zone failover, where the plan has it.
  std::uint64_t epoch = 0;             ///< Of zone failover: the highest.
  double max_quota_ratio = 0;          ///< Of zone failover: all quotas over a zone's limit, at the worst.
  /// Of each restart of a proxy: how many ms until it was ready; nothing if it never was.
  std::vector<std::optional<double>> restart_times_ms;
  std::uint64_t stalls = 0;          ///< Stops of proxies at random.
  std::uint64_t stalls_at_work = 0;  ///< Those that interrupted a proxy's work.

  /// The share of the restarts that were ready in time; 1 if there was none.
  double ReadyShare() const;
  /// The share of the offered weight that was earned.
  double EarnedShare() const;
  /// Whether nothing is wrong, beside the share of the weight that a plan demands.
  bool Passed() const;
};

/// The rules of a plan.
VerdictRules RulesFrom(const simulator::Model& model);

/// Summarizes the seconds of the load.
std::vector<SecondSummary> SummarizeSeconds(const std::vector<RequestRecord>& requests, double load_began_ms);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_RUN_OUTCOME_H_
