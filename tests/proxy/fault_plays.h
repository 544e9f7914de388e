// SPDX-License-Identifier: Apache-2.0
//
// Plays exchanges with each call of a kind failing in turn, each play in a process of its own.
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

/// Limits this process, so that a fault which makes the proxy loop or grow without end is found and harms
/// nobody else.
inline void BoundThisProcess() {
  constexpr rlim_t kMaxSeconds = 10;
  const rlimit processor{kMaxSeconds, kMaxSeconds};
  ::setrlimit(RLIMIT_CPU, &processor);
#ifndef __SANITIZE_ADDRESS__  // it reserves more than any limit
  constexpr rlim_t kMaxMemoryBytes = rlim_t{1} << 30;
  const rlimit memory{kMaxMemoryBytes, kMaxMemoryBytes};
  ::setrlimit(RLIMIT_AS, &memory);
#endif
}

/// Plays in a process of its own, so that a fault which ends the process is a complaint as any other. Returns
/// the complaints, a line each.
inline std::string RunInChild(const std::function<std::vector<std::string>()>& play) {
  std::array<int, 2> ends{};
  if (::pipe(ends.data()) != 0) return "\n  no pipe";
  const pid_t child = ::fork();
  if (child == 0) {
    ::close(ends[0]);
    BoundThisProcess();
    std::string text;
    for (const std::string& complaint : play()) text += "\n  " + complaint;
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

/// What failed, where, and the complaints.
inline std::string Describe(const PlannedFault& fault, Call call, long number,
                            const std::string& complaints) {
  return std::string(badgerbridge::testing::NameOf(call)) + " " + std::to_string(number) +
         (fault.happened() ? " fails, at (see addr2line)" + fault.Site() : ": no fault") + complaints;
}

/// Plays each scenario again and again with the calls from number 0, 1, 2, … failing, until it is over before
/// that call. Returns the number of plays.
inline long FailEachCall(Call call, int failures, int error) {
  constexpr long kMaxCalls = 5000;
  long plays = 0;
  for (const FaultScenario& scenario : FaultScenarios()) {
    bool reached = true;
    for (long number = 0; reached; ++number, ++plays) {
      if (number == kMaxCalls) {
        ADD_FAILURE() << scenario.name << ": never over";
        break;
      }
      const PlannedFault fault(call, number, failures, error);
      const auto play = [&] { return FaultExchange(scenario, static_cast<unsigned>(plays)).Run(); };
      const std::string complaints = RunInChild(play);
      reached = fault.happened();
      if (!complaints.empty())
        ADD_FAILURE() << scenario.name << ": " << Describe(fault, call, number, complaints);
    }
  }
  return plays;
}

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_FAULT_PLAYS_H_
