// SPDX-License-Identifier: Apache-2.0
#include "agent/process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

namespace badgerbridge::agent {
namespace {

constexpr int kLockDescriptor = 3;  // of the instance; all others are closed

int OpenPidfd(pid_t pid) { return static_cast<int>(syscall(SYS_pidfd_open, pid, 0)); }

// In the child, between fork and exec: only what is safe after a fork. Tells the parent what failed.
[[noreturn]] void Fail(int report, const char* what) {
  const int number = errno;
  char text[256];
  const int size = std::snprintf(text, sizeof text, "%d %s", number, what);
  [[maybe_unused]] const ssize_t written = write(report, text, static_cast<std::size_t>(size));
  _exit(127);
}

void Limit(int resource, std::int64_t value, int report, const char* what) {
  if (value <= 0) return;
  const rlimit limit{static_cast<rlim_t>(value), static_cast<rlim_t>(value)};
  if (setrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0) Fail(report, what);
}

}  // namespace

Descriptor::~Descriptor() {
  if (number_ >= 0) close(number_);
}
Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  if (number_ >= 0) close(number_);
  number_ = other.Release();
  return *this;
}
int Descriptor::Release() { return std::exchange(number_, -1); }

std::optional<std::uint64_t> StartTime(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  const std::size_t name_end = text.rfind(')');  // the name may hold anything
  if (name_end == std::string::npos) return std::nullopt;
  std::istringstream fields(text.substr(name_end + 1));
  std::string field;
  for (int i = 3; i <= 22; ++i) {
    if (!(fields >> field)) return std::nullopt;
    if (i == 3 && (field == "Z" || field == "X")) return std::nullopt;
  }
  std::uint64_t ticks = 0;
  const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), ticks);
  if (error != std::errc()) return std::nullopt;
  return ticks;
}

std::optional<Process> StartProcess(const Definition& definition, const Paths& paths, std::string* error) {
  // All that allocates, before the fork.
  std::vector<std::string> variables;
  for (char** at = environ; *at; ++at) {
    const std::string_view entry(*at);
    const std::string name(entry.substr(0, entry.find('=')));
    // The agent's own settings are not the instance's.
    if (definition.environment.count(name) || name.rfind("ROUTER_", 0) == 0 ||
        name == "BADGERBRIDGE_OPERATOR")
      continue;
    variables.emplace_back(entry);
  }
  for (const auto& [name, value] : definition.environment) variables.push_back(name + "=" + value);
  if (!definition.environment.count("ROUTER_NAME")) variables.push_back("ROUTER_NAME=" + definition.name);
  if (!definition.listen.empty()) variables.push_back("ROUTER_LISTEN=" + definition.listen);
  if (!definition.operator_file.empty())
    variables.push_back("BADGERBRIDGE_OPERATOR=" + definition.operator_file);
  std::vector<char*> environment, arguments;
  for (std::string& variable : variables) environment.push_back(variable.data());
  environment.push_back(nullptr);
  std::vector<std::string> words = definition.command;
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);

  Descriptor lock(open(paths.lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (lock.get() < 0) {
    *error = "cannot be started: " + paths.lock + ": " + std::strerror(errno);
    return std::nullopt;
  }
  if (flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
    *error = "already runs";
    return std::nullopt;
  }
  Descriptor log(open(paths.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  if (log.get() < 0) {
    *error = "cannot be started: " + paths.log + ": " + std::strerror(errno);
    return std::nullopt;
  }
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) {
    *error = std::string("cannot be started: ") + std::strerror(errno);
    return std::nullopt;
  }
  Descriptor report(ends[0]), reported(ends[1]);

  const pid_t pid = fork();
  if (pid < 0) {
    *error = std::string("cannot be started: ") + std::strerror(errno);
    return std::nullopt;
  }
  if (pid == 0) {
    setsid();
    // Above all that is about to be replaced.
    const int out = fcntl(reported.get(), F_DUPFD_CLOEXEC, 64), held = fcntl(lock.get(), F_DUPFD_CLOEXEC, 64),
              to = fcntl(log.get(), F_DUPFD_CLOEXEC, 64), nothing = open("/dev/null", O_RDONLY);
    if (out < 0 || held < 0 || to < 0 || nothing < 0) _exit(127);
    if (dup2(nothing, 0) < 0 || dup2(to, 1) < 0 || dup2(to, 2) < 0) Fail(out, "redirect its output");
    if (held == kLockDescriptor || dup2(held, kLockDescriptor) < 0) Fail(out, "hold its lock");
    // Who holds it; written here, so that it is true also if the agent dies now.
    char text[64];
    const int size = std::snprintf(text, sizeof text, "%ld\n", static_cast<long>(getpid()));
    if (ftruncate(kLockDescriptor, 0) != 0 ||
        pwrite(kLockDescriptor, text, static_cast<std::size_t>(size), 0) != size)
      Fail(out, "write its lock");
    for (int number = kLockDescriptor + 1; number < 64; ++number) close(number);
#ifdef SYS_close_range
    syscall(SYS_close_range, 64u, ~0u,
            4u);  // CLOSE_RANGE_CLOEXEC: also what this agent was given by its parent
#endif
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    for (const int number : {SIGPIPE, SIGHUP, SIGTERM, SIGINT, SIGCHLD}) std::signal(number, SIG_DFL);
    if (!definition.working_directory.empty() && chdir(definition.working_directory.c_str()) != 0)
      Fail(out, "enter its working directory");
    Limit(RLIMIT_NOFILE, definition.descriptors, out, "limit its descriptors");
    Limit(RLIMIT_AS, definition.address_space_mb << 20, out, "limit its address space");
    execve(arguments[0], arguments.data(), environment.data());
    Fail(out, arguments[0]);
  }
  reported = Descriptor();
  std::string why;
  char piece[256];
  for (ssize_t n; (n = read(report.get(), piece, sizeof piece)) != 0;) {
    if (n < 0 && errno != EINTR) break;
    if (n > 0) why.append(piece, static_cast<std::size_t>(n));
  }
  if (!why.empty()) {
    waitpid(pid, nullptr, 0);
    int number = 0;
    std::from_chars(why.data(), why.data() + why.size(), number);
    *error = "cannot be started: " + why.substr(std::min(why.size(), why.find(' ') + 1)) + ": " +
             std::strerror(number);
    return std::nullopt;
  }
  Process process;
  process.pid = pid;
  process.child = true;
  process.pidfd = Descriptor(OpenPidfd(pid));  // a child's pid stays its own until it is reaped
  process.started = StartTime(pid).value_or(0);
  if (process.pidfd.get() < 0) {
    *error = std::string("cannot be followed: ") + std::strerror(errno);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    return std::nullopt;
  }
  fcntl(process.pidfd.get(), F_SETFD, FD_CLOEXEC);
  return process;
}

std::optional<Process> FindProcess(const Paths& paths) {
  Descriptor lock(open(paths.lock.c_str(), O_RDWR | O_CLOEXEC));
  if (lock.get() < 0) return std::nullopt;
  if (flock(lock.get(), LOCK_EX | LOCK_NB) == 0) return std::nullopt;  // nobody holds it: what it says is old
  char text[64] = {};
  if (pread(lock.get(), text, sizeof text - 1, 0) <= 0) return std::nullopt;
  Process process;
  process.pid = static_cast<pid_t>(std::strtol(text, nullptr, 10));
  if (process.pid <= 0 || process.pid == getpid()) return std::nullopt;
  process.pidfd = Descriptor(OpenPidfd(process.pid));
  if (process.pidfd.get() < 0) return std::nullopt;
  const auto started = StartTime(process.pid);
  if (!started) return std::nullopt;
  process.started = *started;
  // It runs and has the pid: does it hold the file, too? Else the pid is somebody else's by now.
  struct stat mine {
  }, its{};
  const std::string held = "/proc/" + std::to_string(process.pid) + "/fd/" + std::to_string(kLockDescriptor);
  if (fstat(lock.get(), &mine) != 0 || stat(held.c_str(), &its) != 0 || mine.st_ino != its.st_ino ||
      mine.st_dev != its.st_dev)
    return std::nullopt;
  return process;
}

bool SendSignal(const Process& process, int number) {
  return syscall(SYS_pidfd_send_signal, process.pidfd.get(), number, nullptr, 0) == 0;
}

std::optional<std::string> ReapProcess(const Process& process) {
  pollfd ended{process.pidfd.get(), POLLIN, 0};
  if (poll(&ended, 1, 0) == 0) return std::nullopt;
  if (!process.child) return "ended";
  int status = 0;
  const pid_t reaped = waitpid(process.pid, &status, WNOHANG);
  if (reaped == 0) return std::nullopt;
  if (reaped != process.pid) return "ended";
  if (WIFEXITED(status)) return "exited with " + std::to_string(WEXITSTATUS(status));
  if (WIFSIGNALED(status))
    return "was killed by signal " + std::to_string(WTERMSIG(status)) + " (" + strsignal(WTERMSIG(status)) +
           ")";
  return "ended";
}

std::string LastLine(const std::string& path, std::size_t most) {
  std::ifstream file(path, std::ios::binary | std::ios::ate);
  if (!file) return "";
  const std::streamoff size = file.tellg();
  const std::streamoff from = std::max<std::streamoff>(0, size - 4096);
  file.seekg(from);
  std::string text(static_cast<std::size_t>(size - from), '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  const std::size_t end = text.find_last_not_of(" \r\n");
  if (end == std::string::npos) return "";
  const std::size_t begin = text.rfind('\n', end);
  text = text.substr(begin == std::string::npos ? 0 : begin + 1,
                     end - (begin == std::string::npos ? -1 : begin));
  for (char& c : text) {
    if (static_cast<unsigned char>(c) < ' ') c = ' ';
  }
  return text.substr(0, most);
}

void BoundLog(const std::string& path, std::uint64_t most) {
  struct stat about {};
  if (stat(path.c_str(), &about) != 0 || static_cast<std::uint64_t>(about.st_size) <= most) return;
  // The newest part alone: one that writes a great deal between two looks must not fill the disk twice over.
  std::ifstream in(path, std::ios::binary);
  in.seekg(static_cast<std::streamoff>(static_cast<std::uint64_t>(about.st_size) - most));
  std::ofstream out(path + ".1", std::ios::binary | std::ios::trunc);
  std::vector<char> piece(1 << 16);
  for (std::uint64_t left = most; left > 0 && in;) {
    in.read(piece.data(), static_cast<std::streamsize>(std::min<std::uint64_t>(left, piece.size())));
    if (in.gcount() <= 0) break;
    out.write(piece.data(), in.gcount());
    left -= static_cast<std::uint64_t>(in.gcount());
  }
  if (truncate(path.c_str(), 0) != 0) std::perror(path.c_str());
}

}  // namespace badgerbridge::agent
