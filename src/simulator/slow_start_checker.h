// SPDX-License-Identifier: Apache-2.0

/// @file
/// The rule on backends in slow start: what all proxies together may send one that has just started.
#ifndef BADGERBRIDGE_SIMULATOR_SLOW_START_CHECKER_H_
#define BADGERBRIDGE_SIMULATOR_SLOW_START_CHECKER_H_

#include <deque>

#include "simulator/backend.h"

namespace badgerbridge::simulator {

/// N: the calls of mean work (`mean_work` ms of a standard core) that the settings allow a backend of this
/// age in one window of `overload_duration`. The age is that at the window's end.
double AllowedCalls(const BackendModel& model, double mean_work, Duration age);

/// N + 2 sqrt(N) + 2: more calls break the rule. For an N under 30 the rule names 3 sqrt(N) + 3; it is read
/// in the strictest way, as the whole and not as what chance adds to N, and taken where it is less.
double MaxCalls(double allowed_calls);

/// The largest shares of their bounds that calls have used; at most 1 where the rule holds.
struct SlowStartUsage {
  double calls = 0;  ///< Each call counts as one.
  double work = 0;   ///< Each counts by its work over the mean.

  /// Takes the larger of each.
  void Merge(const SlowStartUsage& other);
};

/// Judges what really reaches one backend, in every window of `overload_duration` from its start on.
class SlowStartChecker {
 public:
  /// `mean_work`: of a request, ms of a standard core.
  SlowStartChecker(BackendModel model, double mean_work) : model_(model), mean_work_(mean_work) {}

  /// A new process has started: calls to an older one do not count.
  void Start(TimePoint now);

  /// Takes in that a call has arrived, whether it is admitted or not. `proxy_was_notified`: its proxy had
  /// been notified of this start when it sent the call; calls of proxies that had not count only where they
  /// are less than a third of the window. Returns whether the call breaks the rule, by calls or by work.
  bool AddCall(TimePoint now, double work, bool proxy_was_notified);

  /// The largest usage so far.
  const SlowStartUsage& max_usage() const { return max_usage_; }

 private:
  struct Call {
    TimePoint at;
    double work;
    bool proxy_was_notified;
  };
  struct Totals {
    double calls = 0;
    double work = 0;
  };
  void Count(const Call& call, double sign);

  BackendModel model_;
  double mean_work_;
  TimePoint started_{};
  std::deque<Call> window_;
  Totals all_;
  Totals notified_;  // of proxies that had been notified
  SlowStartUsage max_usage_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_SLOW_START_CHECKER_H_
