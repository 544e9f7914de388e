// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Keeps instances in their desired state outside of orders: restarts after a crash, with backoff, and drains
/// again what came back. Pure.
#ifndef BADGERBRIDGE_AGENT_SUPERVISOR_H_
#define BADGERBRIDGE_AGENT_SUPERVISOR_H_

#include <cstdint>
#include <random>
#include <string>

#include "agent/instance.h"

namespace badgerbridge::agent {

/// Decides when a process that ended is started again. A value; holds the random numbers of the jitter.
class Supervisor {
 public:
  /// `seed` is of the jitter on the backoff.
  Supervisor(std::uint64_t seed, const RestartPolicy& policy) : random_(seed), policy_(policy) {}

  /// The process has ended, or could not be started: backs off, or gives up after too many crashes.
  void OnExit(Time now, Instance& instance, std::string description);
  /// The instance was observed: one that has been ready for RestartPolicy::min_uptime is no crash loop.
  void OnObserved(const Observation& observation, Time requested_at, Instance& instance) const;

  /// Whether the process is to be started now.
  static bool ShouldStart(Time now, const Instance& instance);
  /// Whether the process waits to be started, at Instance::start_not_before.
  static bool AwaitsStart(const Instance& instance);
  /// Whether a call would bring the instance back to its desired drain, once Instance::call_not_before
  /// allows.
  static bool AwaitsDrain(const Instance& instance);

 private:
  Time NextBackoff(int crashes);

  std::mt19937_64 random_;
  RestartPolicy policy_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_SUPERVISOR_H_
