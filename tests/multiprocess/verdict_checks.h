// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The checks that make up the verdict, one function each.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_VERDICT_CHECKS_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_VERDICT_CHECKS_H_

#include <cstddef>
#include <string>

#include "multiprocess/history_index.h"
#include "multiprocess/verdict.h"

namespace badgerbridge::multiprocess {

/// What the checks read and write. Refers to rules and history, which have to outlive it.
class CheckContext {
 public:
  /// For one pass over a history.
  CheckContext(const VerdictRules& verdict_rules, const History& history)
      : rules(verdict_rules), index(history) {}

  /// Begins a check: so many lines of its violations are kept.
  void BeginCheck();
  /// Adds a line on a violation, unless this check has added enough.
  void AddViolation(std::string line);

  const VerdictRules& rules;  ///< What the run is held against.
  const HistoryIndex index;   ///< The history.
  Verdict verdict;            ///< The result so far.

 private:
  std::size_t max_violations_ = 0;
};

/// Counts the outcomes of all requests; finds those that are lost, and wrong responses.
void CheckRequests(CheckContext& context);
/// Finds requests that were sent a second time though no close of an idle connection had crossed them.
void CheckCloseRaces(CheckContext& context);
/// Finds attempts that begin after their client has closed.
void CheckDisconnects(CheckContext& context);
/// Finds attempts that promise a backend more time than the client has left.
void CheckDeadlines(CheckContext& context);
/// Finds too many attempts that a stop delayed between a proxy's last look and its write. After the two.
void CheckStopRaces(CheckContext& context);
/// Finds requests that ran more often than their idempotency allows, and attempts without a request.
void CheckIdempotency(CheckContext& context);
/// Finds attempts at backends of which the proxy had been notified that they drain.
void CheckDrains(CheckContext& context);
/// Finds backends in slow start that all proxies together sent more than budget and chance.
void CheckSlowStarts(CheckContext& context);
/// Finds backends that failed under overload.
void CheckOverloads(CheckContext& context);
/// Finds requests that no client has accounted for.
void CheckAccounting(CheckContext& context);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_VERDICT_CHECKS_H_
