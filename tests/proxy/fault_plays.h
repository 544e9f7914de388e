// SPDX-License-Identifier: Apache-2.0
//
// Runs the fault scenarios with each call of a kind failing in turn, each run in a child process.
#ifndef BADGERBRIDGE_TESTS_PROXY_FAULT_PLAYS_H_
#define BADGERBRIDGE_TESTS_PROXY_FAULT_PLAYS_H_

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>
#include <vector>

#include "proxy/fault_exchange.h"
#include "support/fault_injection.h"

namespace badgerbridge::proxy::testing {

using badgerbridge::testing::Call;
using badgerbridge::testing::PlannedFault;

/// Limits processor time and memory of this process, so that a fault which makes the proxy loop or grow
/// without bound ends the run and doesn't affect others.
inline void LimitChildResources() {
  constexpr rlim_t kMaxSeconds = 10;
  const rlimit processor{kMaxSeconds, kMaxSeconds};
  ::setrlimit(RLIMIT_CPU, &processor);
#ifndef __SANITIZE_ADDRESS__  // reserves more address space than any limit
  constexpr rlim_t kMaxMemoryBytes = rlim_t{1} << 30;
  const rlimit memory{kMaxMemoryBytes, kMaxMemoryBytes};
  ::setrlimit(RLIMIT_AS, &memory);
#endif
}

/// Calls `run` in a child process, so that a fault which ends the process is reported as a violation. Returns
/// the violations, one per line.
inline std::string RunInChild(const std::function<std::vector<std::string>()>& run) {
  std::array<int, 2> ends{};
  if (::pipe(ends.data()) != 0) return "\n  could not create a pipe";
  const pid_t child = ::fork();
  if (child == 0) {
    ::close(ends[0]);
    LimitChildResources();
    std::string text;
    for (const std::string& violation : run()) text += "\n  " + violation;
    _exit(::write(ends[1], text.data(), text.size()) == static_cast<ssize_t>(text.size()) ? 0 : 1);
  }
  ::close(ends[1]);
  std::string text;
  std::array<char, 4096> piece{};
  ssize_t size = 0;
  while ((size = ::read(ends[0], piece.data(), piece.size())) > 0)
    text.append(piece.data(), static_cast<std::size_t>(size));
  ::close(ends[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  if (WIFSIGNALED(status)) text += "\n  the process was ended by signal " + std::to_string(WTERMSIG(status));
  if (WIFEXITED(status) && WEXITSTATUS(status) != 0) text += "\n  the process failed";
  return text;
}

/// Describes the failed call, its call stack and the violations.
inline std::string Describe(const PlannedFault& fault, Call call, long number,
                            const std::string& violations) {
  return std::string(badgerbridge::testing::NameOf(call)) + " " + std::to_string(number) +
         (fault.happened() ? " fails, at (see addr2line)" + fault.Site() : ": no fault") + violations;
}

/// Runs each scenario repeatedly, with `failures` calls failing from number 0, 1, 2, …, until a run ends
/// before that call. Returns the number of runs.
inline long FailEachCall(Call call, int failures, int error) {
  constexpr long kMaxCalls = 5000;
  long runs = 0;
  for (const FaultScenario& scenario : FaultScenarios()) {
    bool reached = true;
    for (long number = 0; reached; ++number, ++runs) {
      if (number == kMaxCalls) {
        ADD_FAILURE() << scenario.name << ": the failing calls were never exhausted";
        break;
      }
      const PlannedFault fault(call, number, failures, error);
      const auto run = [&] { return FaultExchange(scenario, static_cast<unsigned>(runs)).Run(); };
      const std::string violations = RunInChild(run);
      reached = fault.happened();
      if (!violations.empty())
        ADD_FAILURE() << scenario.name << ": " << Describe(fault, call, number, violations);
    }
  }
  return runs;
}

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_FAULT_PLAYS_H_
