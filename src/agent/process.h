// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The processes of instances. Each process holds a lock on its own file (flock(2)). The lock is inherited
/// through exec and released when the process ends, so that an instance is never started twice, regardless of
/// the stored state. A process is identified by a pidfd (pidfd_open(2)), so that a signal never reaches a
/// process with a reused pid.
#ifndef BADGERBRIDGE_AGENT_PROCESS_H_
#define BADGERBRIDGE_AGENT_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

#include "agent/error.h"
#include "agent/file_descriptor.h"
#include "agent/instance_definition.h"

namespace badgerbridge::agent {

/// The files of an instance.
struct InstancePaths {
  std::string lock;  ///< path; the file is locked by the process and contains its pid
  std::string log;   ///< path of the log of standard output and standard error
};

/// A process of an instance.
struct Process {
  pid_t pid = 0;                 ///< process id
  std::uint64_t start_time = 0;  ///< clock ticks since the boot, field 22 of /proc/PID/stat
  FileDescriptor pidfd;          ///< readable once the process has ended
  bool is_child = false;         ///< child of this agent, so that its exit status is available
};

/// Starts the instance in a new session, so that it outlives the agent. Its output is appended to the log. On
/// failure the instance has no new process; the error is AgentErrorKind::kAlreadyRunning if the lock is held.
Result<Process> StartProcess(const InstanceDefinition& definition, const InstancePaths& paths);

/// The process that holds the lock; nullopt if there is none.
std::optional<Process> FindProcess(const InstancePaths& paths);

/// Sends the signal through the pidfd. Returns false if the process has ended.
bool SendSignal(const Process& process, int number);

/// A readable text of how the process ended: "exited with 0", "was killed by signal 9 (Killed)", or "ended"
/// if it is not a child of this agent. nullopt while it runs. Does not block.
std::optional<std::string> ReapProcess(const Process& process);

/// The start time of a process, in clock ticks since the boot; nullopt if it does not run.
std::optional<std::uint64_t> ReadStartTime(pid_t pid);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_PROCESS_H_
