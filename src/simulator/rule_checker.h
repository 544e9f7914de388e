// SPDX-License-Identifier: Apache-2.0

/// @file
/// The four rules, checked at each step of a run, and the counters at its end, from what really happens in
/// the model, not from what a core reports of itself.
#ifndef BADGERBRIDGE_SIMULATOR_RULE_CHECKER_H_
#define BADGERBRIDGE_SIMULATOR_RULE_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "badgerbridge/balancer.h"
#include "simulator/event_queue.h"
#include "simulator/request_tracker.h"
#include "simulator/slow_start_checker.h"

namespace badgerbridge::simulator {

/// What a run must keep.
enum class Rule {
  kNoRequestLost,      ///< What a running proxy has accepted gets one final response before the client's
                       ///< deadline, and nothing more is sent for it.
  kNoRepeatedEffect,   ///< Nothing takes effect twice, and a rejection means that nothing has.
  kDrainsKept,         ///< Nothing new to a draining backend later than the grace after the notification.
  kSlowStartKept,      ///< A backend in slow start is not overloaded.
  kCountersConsistent  ///< accepted = served + rejected + failed + open.
};

/// The rule, for people; part of the program's output.
std::string_view Name(Rule rule);

/// The first violation of a run.
struct Violation {
  Rule rule = Rule::kNoRequestLost;  ///< The rule.
  TimePoint at{};                    ///< When.
  std::uint64_t step = 0;            ///< The number of the event.
  std::string description;           ///< One line for people.
};

/// Checks one run.
class RuleChecker {
 public:
  /// Judges at the times of `queue`, which must outlive it. `mean_work`: of a request, ms of a standard core.
  RuleChecker(const EventQueue& queue, Duration drain_grace, std::size_t backends,
              const BackendModel& backend, double mean_work)
      : queue_(queue),
        drain_grace_(drain_grace),
        slow_starts_(backends, SlowStartChecker(backend, mean_work)) {}

  /// A response has reached the client; marks the submission as answered.
  void OnResponse(Submission& submission, const balancer::ClassSettings& rules, bool is_rejection);
  /// The client's deadline has come. `is_proxy_alive`: the process that accepted the submission still runs.
  void OnDeadline(const Submission& submission, bool is_proxy_alive);
  /// A proxy sends an attempt, which is counted already. `draining_since`: when the proxy was notified that
  /// the backend drains, if it was.
  void OnAttemptSent(const Submission& submission, std::optional<TimePoint> draining_since,
                     std::size_t backend);
  /// An attempt begins to run. Returns whether it takes effect; else the deduplication scope drops it as a
  /// repeat, and answers without an effect.
  bool OnAttemptRuns(Submission& submission, const balancer::ClassSettings& rules, int deduplication_scope);
  /// A backend has started as a new process.
  void OnBackendStarted(std::size_t backend) { slow_starts_[backend].Start(queue_.now()); }
  /// A request has arrived at a backend. `proxy_was_notified`: SlowStartChecker::AddCall.
  void OnBackendCalled(std::size_t backend, double work, bool proxy_was_notified);
  /// A backend in slow start has failed from overload.
  void OnBackendOverloaded(std::size_t backend);
  /// The run has ended with these counters of a proxy.
  void OnFinalCounters(bool are_consistent, std::size_t proxy);

  /// The first violation, if there was one.
  const std::optional<Violation>& violation() const { return violation_; }
  /// The largest usage of slow-start bounds, over all backends.
  SlowStartUsage MaxSlowStartUsage() const;

 private:
  void Violate(Rule rule, std::string description);

  const EventQueue& queue_;
  const Duration drain_grace_;
  std::vector<SlowStartChecker> slow_starts_;  // by backend
  std::optional<Violation> violation_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_RULE_CHECKER_H_
