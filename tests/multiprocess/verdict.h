// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The checker of a multi-process run: holds the records of clients, backends, discovery and nemesis against
/// each other and against the rules. Pure: no I/O, no clock.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_VERDICT_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_VERDICT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "badgerbridge/balancer.h"
#include "multiprocess/history.h"

namespace badgerbridge::multiprocess {

using balancer::Idempotency;

/// What the rules say of one request class.
struct ClassRules {
  Idempotency idempotency = Idempotency::kNotIdempotent;  ///< Whether a request may run more than once.
  double priority_weight = 1;                             ///< Earned by an answer within the objective.
  double latency_objective_ms = 0;                        ///< From the last byte sent.
  double late_weight = 0;                                 ///< Share of the weight earned by a later answer.
};

/// What all proxies together may send a backend in slow start.
struct SlowStartRules {
  double budget_window_ms = 0;  ///< Length of the window that a budget is for.
  double duration_ms = 0;       ///< How long slow start lasts.
  double mean_work_ms = 1;      ///< Of a request, ms of a standard core.
  /// Calls of mean work allowed in the window that ends when the backend is `age_ms` old, without the
  /// allowance for chance (simulator::MaxCalls).
  std::function<double(double age_ms)> budget;
};

/// What a run is held against.
struct VerdictRules {
  std::vector<ClassRules> classes;  ///< By request class.
  double drain_grace_ms = 500;      ///< How long a notified proxy may go on sending to a draining backend.
  double max_transit_ms = 150;      ///< That a request may be in transit to a backend, by the plan's links.
  double link_delay_ms = 0;         ///< Part of that which the plan's links add on purpose.
  /// False: links hold requests up for longer (cuts, trickles), so that the time of arrival says little about
  /// the time of sending.
  bool has_prompt_links = true;
  std::optional<SlowStartRules> slow_start;  ///< None: slow start is not checked.
};

/// The outcome of all checks. Each of the counts under "violations" has to be 0.
struct Verdict {
  /// \name Outcomes of requests
  /// @{
  std::uint64_t requests = 0;   ///< All of them.
  std::uint64_t served = 0;     ///< Answered with 200.
  std::uint64_t rejected = 0;   ///< Answered with 429 or 503.
  std::uint64_t failed = 0;     ///< Answered with another status.
  std::uint64_t unsent = 0;     ///< Never sent.
  std::uint64_t cancelled = 0;  ///< Its client closed the connection.
  std::uint64_t excused = 0;    ///< Lost, through the nemesis.
  std::uint64_t unjudged = 0;   ///< Lost, but client or link proxy were not run for too long to tell by whom.
  std::uint64_t late = 0;       ///< Answered after its deadline.
  std::uint64_t close_races = 0;  ///< Sent a second time, see CloseRaceRecord.
  /// Ran a second time because its client wrote it again, under the same id, after its proxy had been killed.
  std::uint64_t repeats_after_kill = 0;
  /// Attempts that were right when their proxy was stopped while about to send them, and too late when it
  /// was continued.
  std::uint64_t stop_races = 0;
  std::uint64_t slow_starts = 0;    ///< Slow starts that were checked.
  double max_slow_start_ratio = 0;  ///< Calls over budget and chance, in the worst window of all.
  double offered_weight = 0;        ///< Of first attempts.
  double earned_weight = 0;         ///< Of all answers.
  /// @}

  /// \name Violations
  /// @{
  std::uint64_t lost = 0;                    ///< Lost, with no excuse.
  std::uint64_t wrong_responses = 0;         ///< See RequestRecord::has_wrong_response.
  std::uint64_t repeated_effects = 0;        ///< Ran twice, or ran though rejected, where it must not.
  std::uint64_t sends_after_drain = 0;       ///< Attempts at a draining backend after its grace.
  std::uint64_t overloaded_backends = 0;     ///< Failed under overload in slow start.
  std::uint64_t unaccounted = 0;             ///< Requests without a record, or records without a request.
  std::uint64_t sends_after_disconnect = 0;  ///< Attempts begun after the client had closed.
  std::uint64_t excess_deadlines = 0;        ///< Attempts with more time than the client had left.
  std::uint64_t excess_stop_races = 0;       ///< `stop_races`, where they are too many to be chance.
  std::uint64_t slow_start_violations = 0;   ///< Backends sent more than budget and chance.
  /// @}

  /// One line for each violation, for people; the first ones of a kind.
  std::vector<std::string> violations;

  /// Whether there is no violation.
  bool Passed() const {
    return lost + wrong_responses + repeated_effects + sends_after_drain + overloaded_backends +
               slow_start_violations + unaccounted + sends_after_disconnect + excess_deadlines +
               excess_stop_races ==
           0;
  }
};

/// Runs every check over a history.
Verdict Judge(const VerdictRules& rules, const History& history);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_VERDICT_H_
