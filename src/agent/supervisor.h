// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Keeps instances in their desired state outside of orders: restarts ended processes with a backoff, and
/// drains restarted instances that should be drained. Without I/O.
#ifndef BADGERBRIDGE_AGENT_SUPERVISOR_H_
#define BADGERBRIDGE_AGENT_SUPERVISOR_H_

#include <cstdint>
#include <random>
#include <string>

#include "agent/instance.h"

namespace badgerbridge::agent {

/// Decides when an ended process is started again. A copyable value, including the random generator of the
/// jitter.
class Supervisor {
 public:
  /// `seed` initializes the jitter of the backoff.
  Supervisor(std::uint64_t seed, const RestartPolicy& policy) : random_(seed), policy_(policy) {}

  /// The process ended or could not be started. Sets the backoff, or stops restarts after
  /// RestartPolicy::max_consecutive_crashes.
  void OnExit(Time now, Instance& instance, std::string description);
  /// The instance was observed. Resets the crash count if it is ready after RestartPolicy::min_uptime.
  void OnObserved(const Observation& observation, Time requested_at, Instance& instance) const;

  /// Whether the process must be started now.
  static bool ShouldStart(Time now, const Instance& instance);
  /// Whether the process must be started at Instance::start_not_before.
  static bool AwaitsStart(const Instance& instance);
  /// Whether the instance must be drained again by a call, at Instance::call_not_before at the earliest.
  static bool AwaitsDrain(const Instance& instance);

 private:
  Time NextBackoff(int crashes);

  std::mt19937_64 random_;
  RestartPolicy policy_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_SUPERVISOR_H_
