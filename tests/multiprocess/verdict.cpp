// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/verdict.h"

#include <utility>

#include "multiprocess/verdict_checks.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr std::size_t kMaxViolationsPerCheck = 25;

}  // namespace

void CheckContext::BeginCheck() { max_violations_ = verdict.violations.size() + kMaxViolationsPerCheck; }

void CheckContext::AddViolation(std::string line) {
  if (verdict.violations.size() < max_violations_) verdict.violations.push_back(std::move(line));
}

Verdict Judge(const VerdictRules& rules, const History& history) {
  CheckContext context(rules, history);
  for (const auto check : {CheckRequests, CheckCloseRaces, CheckDisconnects, CheckDeadlines, CheckStopRaces,
                           CheckIdempotency, CheckDrains, CheckSlowStarts, CheckOverloads, CheckAccounting}) {
    context.BeginCheck();
    check(context);
  }
  return std::move(context.verdict);
}

}  // namespace badgerbridge::multiprocess
