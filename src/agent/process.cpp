// SPDX-License-Identifier: Apache-2.0
#include "agent/process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "agent/child_process.h"

namespace badgerbridge::agent {
namespace {

FileDescriptor OpenPidfd(pid_t pid) {
  FileDescriptor pidfd(static_cast<int>(syscall(SYS_pidfd_open, pid, 0)));
  if (pidfd.is_open()) fcntl(pidfd.get(), F_SETFD, FD_CLOEXEC);
  return pidfd;
}

AgentError StartError(std::string where, int error_number) {
  return {AgentErrorKind::kStartFailed, std::move(where), "", error_number};
}

Result<FileDescriptor> OpenLocked(const std::string& path) {
  FileDescriptor lock(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock.is_open()) return StartError(path, errno);
  if (flock(lock.get(), LOCK_EX | LOCK_NB) != 0) return AgentError{AgentErrorKind::kAlreadyRunning, path, ""};
  return lock;
}

Result<FileDescriptor> OpenLog(const std::string& path) {
  FileDescriptor log(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  if (!log.is_open()) return StartError(path, errno);
  return log;
}

/// Both ends of a pipe.
struct Pipe {
  FileDescriptor read_end;
  FileDescriptor write_end;
};

Result<Pipe> OpenPipe() {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) return StartError("", errno);
  return Pipe{FileDescriptor(ends[0]), FileDescriptor(ends[1])};
}

/// Reads until end of file, which occurs when the child has executed its program or has ended.
std::string ReadToEnd(int file) {
  std::string text;
  char buffer[256];
  for (;;) {
    const ssize_t count = read(file, buffer, sizeof buffer);
    if (count == 0) return text;
    if (count < 0 && errno != EINTR) return text;
    if (count > 0) text.append(buffer, static_cast<std::size_t>(count));
  }
}

/// Parses a report of the child: "errno text".
AgentError ParseReport(const std::string& report) {
  int error_number = 0;
  std::from_chars(report.data(), report.data() + report.size(), error_number);
  const std::size_t space = std::min(report.size(), report.find(' ') + 1);
  return StartError(report.substr(space), error_number);
}

Result<Process> WatchChild(pid_t pid) {
  Process process;
  process.pid = pid;
  process.is_child = true;
  process.pidfd = OpenPidfd(pid);  // the pid of a child is not reused before it is reaped
  if (!process.pidfd.is_open()) {
    const int error_number = errno;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    return AgentError{AgentErrorKind::kWatchFailed, "", "", error_number};
  }
  process.start_time = ReadStartTime(pid).value_or(0);
  return process;
}

/// The pid in the lock file; nullopt if it is not a valid pid of another process.
std::optional<pid_t> ReadPid(int lock) {
  char text[64] = {};
  if (pread(lock, text, sizeof text - 1, 0) <= 0) return std::nullopt;
  const auto pid = static_cast<pid_t>(std::strtol(text, nullptr, 10));
  if (pid <= 0 || pid == getpid()) return std::nullopt;
  return pid;
}

/// Whether the process has the lock file open as kLockDescriptor.
bool HoldsLock(pid_t pid, int lock) {
  struct stat own_status {};
  struct stat held_status {};
  const std::string path = "/proc/" + std::to_string(pid) + "/fd/" + std::to_string(kLockDescriptor);
  if (fstat(lock, &own_status) != 0 || stat(path.c_str(), &held_status) != 0) return false;
  return own_status.st_ino == held_status.st_ino && own_status.st_dev == held_status.st_dev;
}

std::string DescribeExit(int status) {
  if (WIFEXITED(status)) return "exited with " + std::to_string(WEXITSTATUS(status));
  if (!WIFSIGNALED(status)) return "ended";
  const int number = WTERMSIG(status);
  return "was killed by signal " + std::to_string(number) + " (" + strsignal(number) + ")";
}

}  // namespace

std::optional<std::uint64_t> ReadStartTime(pid_t pid) {
  constexpr int kStateField = 3;
  constexpr int kStartTimeField = 22;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  const std::size_t name_end = text.rfind(')');  // the command name may contain any character
  if (name_end == std::string::npos) return std::nullopt;
  std::istringstream fields(text.substr(name_end + 1));
  std::string field;
  for (int i = kStateField; i <= kStartTimeField; ++i) {
    if (!(fields >> field)) return std::nullopt;
    const bool has_ended = i == kStateField && (field == "Z" || field == "X");
    if (has_ended) return std::nullopt;
  }
  std::uint64_t ticks = 0;
  const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), ticks);
  if (error != std::errc()) return std::nullopt;
  return ticks;
}

Result<Process> StartProcess(const InstanceDefinition& definition, const InstancePaths& paths) {
  const CStringArray environment(BuildEnvironment(definition));
  const CStringArray arguments(definition.command);
  const Result<FileDescriptor> lock = OpenLocked(paths.lock);
  if (!lock) return lock.error();
  const Result<FileDescriptor> log = OpenLog(paths.log);
  if (!log) return log.error();
  Result<Pipe> report = OpenPipe();
  if (!report) return report.error();

  const pid_t pid = fork();
  if (pid < 0) return StartError("", errno);
  if (pid == 0)
    RunChild({definition, arguments, environment, lock->get(), log->get(), report->write_end.get()});
  report->write_end = FileDescriptor();
  const std::string failure = ReadToEnd(report->read_end.get());
  if (failure.empty()) return WatchChild(pid);
  waitpid(pid, nullptr, 0);
  return ParseReport(failure);
}

std::optional<Process> FindProcess(const InstancePaths& paths) {
  const FileDescriptor lock(open(paths.lock.c_str(), O_RDWR | O_CLOEXEC));
  if (!lock.is_open()) return std::nullopt;
  // If the lock is free, the process whose pid is in the file has ended.
  if (flock(lock.get(), LOCK_EX | LOCK_NB) == 0) return std::nullopt;
  const auto pid = ReadPid(lock.get());
  if (!pid) return std::nullopt;
  Process process;
  process.pid = *pid;
  process.pidfd = OpenPidfd(*pid);
  if (!process.pidfd.is_open()) return std::nullopt;
  const auto start_time = ReadStartTime(*pid);
  if (!start_time) return std::nullopt;
  process.start_time = *start_time;
  // The pid may have been reused; the right process has the lock file open.
  if (!HoldsLock(*pid, lock.get())) return std::nullopt;
  return process;
}

bool SendSignal(const Process& process, int number) {
  return syscall(SYS_pidfd_send_signal, process.pidfd.get(), number, nullptr, 0) == 0;
}

std::optional<std::string> ReapProcess(const Process& process) {
  pollfd end{process.pidfd.get(), POLLIN, 0};
  if (poll(&end, 1, 0) == 0) return std::nullopt;
  if (!process.is_child) return "ended";
  int status = 0;
  const pid_t reaped = waitpid(process.pid, &status, WNOHANG);
  if (reaped == 0) return std::nullopt;
  if (reaped != process.pid) return "ended";
  return DescribeExit(status);
}

}  // namespace badgerbridge::agent
