// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What a FleetController is told (events) and what it asks for (actions).
#ifndef BADGERBRIDGE_AGENT_CONTROLLER_EVENTS_H_
#define BADGERBRIDGE_AGENT_CONTROLLER_EVENTS_H_

#include <sys/types.h>

#include <string>
#include <variant>

#include "agent/instance.h"

namespace badgerbridge::agent {

/// A Spawn has succeeded.
struct Spawned {
  std::string instance;  ///< name
  pid_t pid = 0;         ///< of the new process
};

/// A Spawn has failed; nothing runs.
struct SpawnFailed {
  std::string instance;  ///< name
  std::string reason;    ///< for people
};

/// The instance was found running, not started by this agent.
struct Adopted {
  std::string instance;  ///< name
  pid_t pid = 0;         ///< of the process that was found
};

/// The process has ended.
struct Exited {
  std::string instance;     ///< name
  std::string description;  ///< "exited with 1", "was killed by signal 9"
};

/// The instance has answered a poll.
struct Observed {
  std::string instance;     ///< name
  Observation observation;  ///< what it reported
  Time requested_at{0};     ///< when the poll was sent: the observation is no older
};

/// The instance has not answered a poll.
struct Unresponsive {
  std::string instance;  ///< name
  std::string reason;    ///< for people
};

/// A Call was accepted by the instance.
struct CallSucceeded {
  std::string instance;  ///< name
};

/// A Call was rejected or not answered.
struct CallFailed {
  std::string instance;  ///< name
  std::string reason;    ///< for people
};

/// Only time has passed.
struct Tick {};

/// Any event.
using Event = std::variant<Spawned, SpawnFailed, Adopted, Exited, Observed, Unresponsive, CallSucceeded,
                           CallFailed, Tick>;

/// Start the process. Answered by Spawned, SpawnFailed or Adopted.
struct Spawn {
  std::string instance;    ///< name
  std::string definition;  ///< JSON text
};

/// Tell the instance to drain, or to stop draining. Answered by CallSucceeded or CallFailed.
struct Call {
  std::string instance;  ///< name
  bool drain = false;    ///< false: undrain
  Time deadline{0};      ///< of the drain, for the instance's own report; 0: none
};

/// Send a signal to the process.
struct Signal {
  std::string instance;  ///< name
  int number = 0;        ///< SIGTERM, SIGKILL or SIGHUP
};

/// Any action.
using Action = std::variant<Spawn, Call, Signal>;

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_CONTROLLER_EVENTS_H_
