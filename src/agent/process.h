// SPDX-License-Identifier: Apache-2.0
//
// The processes of instances. Each holds a lock on a file of its own (flock(2), inherited through exec and
// let go at its end, however it ends): no instance is started while it runs, whatever the agent remembers.
// Its process is meant by a pidfd (pidfd_open(2)), checked against the start time in /proc/PID/stat: never a
// recycled pid.
#ifndef BADGERBRIDGE_AGENT_PROCESS_H_
#define BADGERBRIDGE_AGENT_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

#include "agent/fleet_file.h"

namespace badgerbridge::agent {

struct Paths {
  std::string lock, log;
};

// A file descriptor of its own.
class Descriptor {
 public:
  explicit Descriptor(int number = -1) : number_(number) {}
  ~Descriptor();
  Descriptor(Descriptor&& other) noexcept : number_(other.Release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  int get() const { return number_; }
  int Release();

 private:
  int number_;
};

struct Process {
  pid_t pid = 0;
  std::uint64_t started = 0;  // ticks since the boot, field 22 of /proc/PID/stat
  Descriptor pidfd;           // readable once it has ended
  bool child = false;         // of this agent: its exit status is to be had
};

// Starts it in a session of its own, its output appended to the log. It outlives the agent. On failure
// nothing runs and `error` says why; "already runs" where the lock is held.
std::optional<Process> StartProcess(const Definition& definition, const Paths& paths, std::string* error);

// The instance that holds the lock, if one does.
std::optional<Process> FindProcess(const Paths& paths);

// To that process and no other; false if it has ended.
bool SendSignal(const Process& process, int number);

// How it ended, in words: "exited with 0", "was killed by signal 9 (Killed)", or "ended" where this agent has
// not started it. Nothing while it runs; never waits.
std::optional<std::string> ReapProcess(const Process& process);

// The last line that is not blank, at most `most` bytes of it.
std::string LastLine(const std::string& path, std::size_t most);

// Start time of a process; nothing if there is none.
std::optional<std::uint64_t> StartTime(pid_t pid);

// Cuts a log that has grown over `most`: what it held moves to PATH.1 and it goes on empty. Its writer
// appends and notices nothing; what it writes in between is lost.
void BoundLog(const std::string& path, std::uint64_t most);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_PROCESS_H_
