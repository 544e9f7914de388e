// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The state of one supervised instance (a proxy process). Plain values without I/O.
#ifndef BADGERBRIDGE_AGENT_INSTANCE_H_
#define BADGERBRIDGE_AGENT_INSTANCE_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "agent/order.h"

namespace badgerbridge::agent {

/// The status that an instance reported (/v1/status of a proxy).
struct Observation {
  std::string state;                   ///< starting, ready, draining, drained or stopping
  std::uint64_t open_requests = 0;     ///< requests in flight
  std::uint64_t connections = 0;       ///< from clients
  std::uint64_t reloads_applied = 0;   ///< since the start of the process
  std::uint64_t reloads_rejected = 0;  ///< since the start of the process
  std::string reload_error;            ///< error of the latest rejected reload
};

/// The desired and the current state of one instance. The state of the process is not stored on disk.
struct Instance {
  std::string name;                      ///< unique among the instances of the agent
  std::string definition;                ///< JSON text; empty until an order defines it
  bool desired_running = false;          ///< whether its process should run
  bool desired_drained = false;          ///< whether it should be drained while it runs
  std::uint64_t changed_generation = 0;  ///< generation of the newest order that named it
  std::string changed_by_order;          ///< id of that order
  pid_t pid = 0;                         ///< 0: no process
  bool start_in_flight = false;          ///< a Spawn has no result yet
  bool call_in_flight = false;           ///< a Call has no result yet
  Time spawned_at{0};                    ///< time of the start or the adoption; 0: never
  Time start_not_before{0};              ///< end of the backoff after an exit
  Time call_not_before{0};               ///< end of the backoff after a call
  std::optional<Time> sigterm_sent_at;   ///< first SIGTERM of this agent to the current process
  int consecutive_crashes = 0;    ///< exits within RestartPolicy::min_uptime; also 1 after a later exit
  std::string last_exit;          ///< how the last process ended, for display
  std::string crash_loop_reason;  ///< why restarts stopped; empty: not in a crash loop
  std::optional<Observation> observation;  ///< latest one of the current process
  Time observed_at{0};                     ///< when the poll of the observation was sent
  Time unresponsive_since{0};              ///< when the first poll without response failed
  std::string unresponsive_reason;         ///< empty: it responds
};

/// The backoff and the limit of restarts after a process ended.
struct RestartPolicy {
  Time initial_backoff{200};        ///< after the first crash; doubles with each further one
  Time max_backoff{10000};          ///< upper bound of the backoff
  Time min_uptime{10000};           ///< a process that ends earlier counts as crashed
  int max_consecutive_crashes = 5;  ///< restarts stop at this number
};

/// The state for display and selectors: stopped, spawning, starting, ready, draining, drained, stopping,
/// backoff, failed or silent.
std::string_view InstanceStateName(const Instance& instance);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_INSTANCE_H_
