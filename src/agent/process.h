// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The processes of instances. Each holds a lock on a file of its own (flock(2), inherited through exec and
/// released at its end, however it ends): an instance is never started while it runs, whatever the agent
/// remembers. A process is referred to by a pidfd (pidfd_open(2)), so that a recycled pid is never signalled.
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

/// Where an instance keeps its files.
struct InstancePaths {
  std::string lock;  ///< locked by the process; holds its pid
  std::string log;   ///< standard output and error
};

/// A process of an instance.
struct Process {
  pid_t pid = 0;                 ///< of the process
  std::uint64_t start_time = 0;  ///< ticks since the boot, field 22 of /proc/PID/stat
  FileDescriptor pidfd;          ///< readable once the process has ended
  bool is_child = false;         ///< of this agent: its exit status can be read
};

/// Starts the instance in a session of its own, its output appended to the log. It outlives the agent. On
/// failure nothing runs; AgentErrorKind::kAlreadyRunning where the lock is held.
Result<Process> StartProcess(const InstanceDefinition& definition, const InstancePaths& paths);

/// The process that holds the lock; nothing if there is none.
std::optional<Process> FindProcess(const InstancePaths& paths);

/// Signals that process and no other. False if it has ended.
bool SendSignal(const Process& process, int number);

/// How the process ended, for people: "exited with 0", "was killed by signal 9 (Killed)", or "ended" where
/// this agent has not started it. Nothing while it runs. Never waits.
std::optional<std::string> ReapProcess(const Process& process);

/// The start time of a process, in ticks since the boot; nothing if it does not run.
std::optional<std::uint64_t> ReadStartTime(pid_t pid);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_PROCESS_H_
