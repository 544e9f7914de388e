// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What can go wrong with a multi-process run itself: an installation that did not come up, which ends the
/// run, and faults of processes, which fail it whatever the verdict.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ERROR_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ERROR_H_

#include <stdexcept>
#include <string>

namespace badgerbridge::multiprocess {

/// What went wrong.
enum class RunErrorKind {
  kSystemCall,        ///< The system call `where` failed with `error_number`, on `detail`.
  kNoAddressBlock,    ///< Other runs use every block of loopback addresses.
  kNotInTime,         ///< The condition `where` did not hold in time.
  kProcessEnded,      ///< The process `where` ended at its start, see `detail`.
  kMalformedMessage,  ///< The line `detail` is no message, or not one that `where` takes.
};

/// One error of a run. Which of the members are set depends on `kind`.
struct RunError {
  RunErrorKind kind = RunErrorKind::kSystemCall;  ///< What went wrong.
  std::string where;                              ///< See RunErrorKind.
  std::string detail;                             ///< See RunErrorKind.
  int error_number = 0;                           ///< errno; 0: no system call failed.
};

/// One line for people, without a line end.
std::string Message(const RunError& error);

/// What a process of a run did wrong while the run went on.
enum class ProcessFaultKind {
  kRoleError,         ///< The role `process` could not carry a command out, see `detail`.
  kEnded,             ///< `process` ended without having been asked to, see `detail`.
  kNotEnded,          ///< `process` had not ended in time after SIGTERM.
  kBadExit,           ///< `process` ended with another status than 0 after SIGTERM, see `detail`.
  kMalformedRequest,  ///< A backend of `process` received a request that no proxy may send.
  kNoLeader,          ///< There was no leader to do `detail` to.
  kFewQuotaChecks,    ///< The proxies' quotas were checked together `detail` times, which is too seldom.
};

/// One fault of a process. A run with any of them fails.
struct ProcessFault {
  ProcessFaultKind kind = ProcessFaultKind::kRoleError;  ///< What it is.
  std::string process;                                   ///< See ProcessFaultKind; may be empty.
  std::string detail;                                    ///< See ProcessFaultKind; may be empty.
};

/// One line for people, without a line end.
std::string Message(const ProcessFault& fault);

/// The exception that ends a run which can't be carried out.
class RunFailure : public std::runtime_error {
 public:
  /// An exception with the message of `error`.
  explicit RunFailure(RunError error);

  /// What went wrong.
  const RunError& error() const { return error_; }

 private:
  RunError error_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ERROR_H_
