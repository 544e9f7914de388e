// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The errors of the agent: what went wrong, where, and the value that was wrong.
#ifndef BADGERBRIDGE_AGENT_ERROR_H_
#define BADGERBRIDGE_AGENT_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <cstdint>
#include <string>

namespace badgerbridge::agent {

/// What went wrong.
enum class AgentErrorKind {
  kNone = 0,           ///< no error; never in a failed result
  kStoreIo,            ///< a system call on the state file failed
  kStoreInUse,         ///< another process holds the lock of the state file
  kStoreTooLarge,      ///< the state file is larger than any state can be
  kStoreTruncated,     ///< the state file shrank while it was read
  kStoreInvalidBatch,  ///< a batch with a correct checksum is no JSON array
  kStoreDamaged,       ///< intact batches follow a damaged one
  kAuditLogIo,         ///< the audit log could not be written
  kStateDirectory,     ///< a directory of the state could not be made
  kAlreadyRunning,     ///< another process holds the lock of the instance
  kStartFailed,        ///< the process could not be started
  kWatchFailed,        ///< the process was started, but no pidfd could be opened for it
  kInvalidDefinition,  ///< a stored definition of an instance is malformed
  kInvalidRecord,      ///< a stored record is malformed
  kInvalidRequest,     ///< a member of a request's body is malformed
  kListenFailed,       ///< a socket of the agent's API could not be opened
  kStoreUnavailable,   ///< no order is accepted, since the state is not on disk
  kOrderNotStored,     ///< an order was not accepted, since it could not be stored
  kOrderNotAudited,    ///< an order was not accepted, since it could not be written to the audit log
};

/// One error of the agent. Which of the members are set depends on `kind`.
struct AgentError {
  AgentErrorKind kind = AgentErrorKind::kNone;  ///< what went wrong
  std::string where;                            ///< the operation, file or member at fault
  std::string detail;                           ///< the value that was wrong, or what is wrong with it
  int error_number = 0;                         ///< errno; 0: no system call failed
  std::uint64_t first_byte = 0;                 ///< of a damaged file: where the damage begins
  std::uint64_t last_byte = 0;                  ///< of a damaged file: where the damage ends
};

/// One line for people, without a line end.
std::string Message(const AgentError& error);

/// A value, or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, AgentError>;

/// Called by boost::system::result when the value of a failed result is taken; throws std::runtime_error with
/// the message of the error.
[[noreturn]] void throw_exception_from_error(const AgentError& error, const boost::source_location& location);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_ERROR_H_
