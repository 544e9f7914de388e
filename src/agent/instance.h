// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// One supervised instance (a proxy process), as the agent knows it. Plain values; nothing here does I/O.
#ifndef BADGERBRIDGE_AGENT_INSTANCE_H_
#define BADGERBRIDGE_AGENT_INSTANCE_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "agent/order.h"

namespace badgerbridge::agent {

/// What an instance reported of itself (a proxy's /v1/status).
struct Observation {
  std::string state;                   ///< starting, ready, draining, drained or stopping
  std::uint64_t open_requests = 0;     ///< taken and not answered yet
  std::uint64_t connections = 0;       ///< of its clients
  std::uint64_t reloads_applied = 0;   ///< since the start of the process
  std::uint64_t reloads_rejected = 0;  ///< since the start of the process
  std::string reload_error;            ///< of the newest rejected reload
};

/// The desired and the current state of one instance. What is known of its process is not stored.
struct Instance {
  std::string name;                        ///< unique among the instances of the agent
  std::string definition;                  ///< JSON text; empty until an order defines it
  bool desired_running = false;            ///< whether its process shall run
  bool desired_drained = false;            ///< while it runs
  std::uint64_t changed_generation = 0;    ///< of the newest order that named it
  std::string changed_by_order;            ///< that order's id
  pid_t pid = 0;                           ///< 0: it does not run
  bool start_in_flight = false;            ///< a Spawn has not been answered yet
  bool call_in_flight = false;             ///< a Call has not been answered yet
  Time spawned_at{0};                      ///< or adopted
  Time start_not_before{0};                ///< backoff after a crash
  Time call_not_before{0};                 ///< backoff after a call
  std::optional<Time> sigterm_sent_at;     ///< the first SIGTERM of this agent to this process
  int consecutive_crashes = 0;             ///< each soon after its start
  std::string last_exit;                   ///< how the process last ended, for people
  std::string crash_loop_reason;           ///< why it is not started any more; empty: it is
  std::optional<Observation> observation;  ///< the newest, of this process
  Time observed_at{0};                     ///< when the observation was asked for
  Time unresponsive_since{0};              ///< when it first did not answer
  std::string unresponsive_reason;         ///< empty: it answers
};

/// When and how often a process that ended is started again.
struct RestartPolicy {
  Time initial_backoff{200};        ///< after the first crash; doubles with each further one
  Time max_backoff{10000};          ///< upper bound of the backoff
  Time min_uptime{10000};           ///< a process that ended sooner has crashed
  int max_consecutive_crashes = 5;  ///< then the instance is given up
};

/// The state for people and selectors: stopped, spawning, starting, ready, draining, drained, stopping,
/// backoff, failed or silent.
std::string_view InstanceStateName(const Instance& instance);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_INSTANCE_H_
