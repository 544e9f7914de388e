// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The inputs (events) and outputs (actions) of a FleetController.
#ifndef BADGERBRIDGE_AGENT_CONTROLLER_EVENTS_H_
#define BADGERBRIDGE_AGENT_CONTROLLER_EVENTS_H_

#include <sys/types.h>

#include <string>
#include <variant>

#include "agent/instance.h"

namespace badgerbridge::agent {

/// A Spawn succeeded.
struct Spawned {
  std::string instance;  ///< name
  pid_t pid = 0;         ///< of the new process
};

/// A Spawn failed; the instance has no process.
struct SpawnFailed {
  std::string instance;  ///< name
  std::string reason;    ///< readable text
};

/// A running process of the instance was found that this agent did not start.
struct Adopted {
  std::string instance;  ///< name
  pid_t pid = 0;         ///< of that process
};

/// The process of the instance ended.
struct Exited {
  std::string instance;     ///< name
  std::string description;  ///< "exited with 1", "was killed by signal 9"
};

/// The instance responded to a poll.
struct Observed {
  std::string instance;     ///< name
  Observation observation;  ///< reported status
  Time requested_at{0};     ///< when the poll was sent; the observation is not older
};

/// The instance did not respond to a poll.
struct Unresponsive {
  std::string instance;  ///< name
  std::string reason;    ///< readable text
};

/// The instance accepted a Call.
struct CallSucceeded {
  std::string instance;  ///< name
};

/// The instance rejected a Call or did not respond.
struct CallFailed {
  std::string instance;  ///< name
  std::string reason;    ///< readable text
};

/// Only time has passed since the last event.
struct Tick {};

/// An input of FleetController::Handle().
using Event = std::variant<Spawned, SpawnFailed, Adopted, Exited, Observed, Unresponsive, CallSucceeded,
                           CallFailed, Tick>;

/// Start the process of the instance. Results in Spawned, SpawnFailed or Adopted.
struct Spawn {
  std::string instance;    ///< name
  std::string definition;  ///< JSON text
};

/// Request the instance to drain or to undrain. Results in CallSucceeded or CallFailed.
struct Call {
  std::string instance;  ///< name
  bool drain = false;    ///< false: undrain
  Time deadline{0};      ///< of the drain, which the instance shows in its status; 0: none
};

/// Send a signal to the process of the instance.
struct Signal {
  std::string instance;  ///< name
  int number = 0;        ///< SIGTERM, SIGKILL or SIGHUP
};

/// An output of FleetController, to be performed in order.
using Action = std::variant<Spawn, Call, Signal>;

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_CONTROLLER_EVENTS_H_
