// SPDX-License-Identifier: Apache-2.0
#include "agent/child_process.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <string_view>
#include <utility>

namespace badgerbridge::agent {
namespace {

/// Descriptors below this one are replaced or closed. Until exec, the child keeps the descriptors that it
/// needs at or above this number.
constexpr int kMinKeptDescriptor = 64;
constexpr int kExecFailedExitCode = 127;

/// Reports the failed operation and errno to the parent, and exits.
[[noreturn]] void ReportAndExit(int report, const char* what) {
  const int number = errno;
  char text[256];
  const int size = std::snprintf(text, sizeof text, "%d %s", number, what);
  [[maybe_unused]] const ssize_t written = write(report, text, static_cast<std::size_t>(size));
  _exit(kExecFailedExitCode);
}

void LimitResource(int resource, std::int64_t value, int report, const char* what) {
  if (value <= 0) return;
  const rlimit limit{static_cast<rlim_t>(value), static_cast<rlim_t>(value)};
  if (setrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0) ReportAndExit(report, what);
}

/// Sets up the standard streams and the lock, and closes all other descriptors. Returns the report's new
/// descriptor.
int SetUpDescriptors(const ChildSetup& setup) {
  // Duplicates above the range of descriptors that are replaced below.
  const int report = fcntl(setup.report, F_DUPFD_CLOEXEC, kMinKeptDescriptor);
  const int lock = fcntl(setup.lock, F_DUPFD_CLOEXEC, kMinKeptDescriptor);
  const int log = fcntl(setup.log, F_DUPFD_CLOEXEC, kMinKeptDescriptor);
  const int null_input = open("/dev/null", O_RDONLY);
  if (report < 0 || lock < 0 || log < 0 || null_input < 0) _exit(kExecFailedExitCode);
  if (dup2(null_input, STDIN_FILENO) < 0 || dup2(log, STDOUT_FILENO) < 0 || dup2(log, STDERR_FILENO) < 0)
    ReportAndExit(report, "redirect its output");
  if (lock == kLockDescriptor || dup2(lock, kLockDescriptor) < 0) ReportAndExit(report, "hold its lock");
  for (int number = kLockDescriptor + 1; number < kMinKeptDescriptor; ++number) close(number);
#ifdef SYS_close_range
  // Descriptors that the agent inherited from its own parent must not leak into the instance.
  constexpr unsigned kCloseRangeCloexec = 4;  // CLOSE_RANGE_CLOEXEC of linux/close_range.h
  syscall(SYS_close_range, static_cast<unsigned>(kMinKeptDescriptor), ~0u, kCloseRangeCloexec);
#endif
  return report;
}

/// The child writes its own pid, so that the file is correct even if the agent dies right after the fork.
void WritePidToLock(int report) {
  char text[64];
  const int size = std::snprintf(text, sizeof text, "%ld\n", static_cast<long>(getpid()));
  if (ftruncate(kLockDescriptor, 0) != 0 ||
      pwrite(kLockDescriptor, text, static_cast<std::size_t>(size), 0) != size)
    ReportAndExit(report, "write its lock");
}

void ResetSignals() {
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  for (const int number : {SIGPIPE, SIGHUP, SIGTERM, SIGINT, SIGCHLD}) std::signal(number, SIG_DFL);
}

bool IsAgentSetting(std::string_view name) {
  return name.starts_with("ROUTER_") || name == "BADGERBRIDGE_OPERATOR";
}

}  // namespace

CStringArray::CStringArray(std::vector<std::string> strings) : strings_(std::move(strings)) {
  for (std::string& string : strings_) pointers_.push_back(string.data());
  pointers_.push_back(nullptr);
}

std::vector<std::string> BuildEnvironment(const InstanceDefinition& definition) {
  std::vector<std::string> variables;
  for (char** variable = environ; *variable; ++variable) {
    const std::string_view entry(*variable);
    const std::string name(entry.substr(0, entry.find('=')));
    if (definition.environment.contains(name) || IsAgentSetting(name)) continue;
    variables.emplace_back(entry);
  }
  for (const auto& [name, value] : definition.environment) variables.push_back(name + "=" + value);
  if (!definition.environment.contains("ROUTER_NAME")) variables.push_back("ROUTER_NAME=" + definition.name);
  if (!definition.listen.empty()) variables.push_back("ROUTER_LISTEN=" + definition.listen);
  if (!definition.operator_file.empty())
    variables.push_back("BADGERBRIDGE_OPERATOR=" + definition.operator_file);
  return variables;
}

void RunChild(const ChildSetup& setup) {
  setsid();
  const int report = SetUpDescriptors(setup);
  WritePidToLock(report);
  ResetSignals();
  const InstanceDefinition& definition = setup.definition;
  if (!definition.working_directory.empty() && chdir(definition.working_directory.c_str()) != 0)
    ReportAndExit(report, "enter its working directory");
  LimitResource(RLIMIT_NOFILE, definition.max_descriptors, report, "limit its descriptors");
  LimitResource(RLIMIT_AS, definition.max_address_space_mb << 20, report, "limit its address space");
  execve(setup.arguments.data()[0], setup.arguments.data(), setup.environment.data());
  ReportAndExit(report, setup.arguments.data()[0]);
}

}  // namespace badgerbridge::agent
