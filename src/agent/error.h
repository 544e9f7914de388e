// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The errors of the agent and their messages.
#ifndef BADGERBRIDGE_AGENT_ERROR_H_
#define BADGERBRIDGE_AGENT_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <cstdint>
#include <string>

namespace badgerbridge::agent {

/// The cause of an error.
enum class AgentErrorKind {
  kNone = 0,           ///< no error; never in a failed result
  kStoreIo,            ///< a system call on the state file failed
  kStoreInUse,         ///< another process holds the lock of the state file
  kStoreTooLarge,      ///< the state file is larger than the accepted maximum
  kStoreTruncated,     ///< the state file shrank while it was read
  kStoreInvalidBatch,  ///< a batch with a correct checksum is not a JSON array
  kStoreDamaged,       ///< intact batches follow a damaged one
  kAuditLogIo,         ///< the audit log could not be written
  kStateDirectory,     ///< a directory of the state could not be created
  kAlreadyRunning,     ///< another process holds the lock of the instance
  kStartFailed,        ///< the process could not be started
  kWatchFailed,        ///< the process was started, but its pidfd could not be opened
  kInvalidDefinition,  ///< a stored definition of an instance is malformed
  kInvalidRecord,      ///< a stored record is malformed
  kInvalidRequest,     ///< a member of a request body is missing or malformed
  kListenFailed,       ///< a socket of the agent's API could not be opened
  kStoreUnavailable,   ///< orders are rejected while the state cannot be stored
  kOrderNotStored,     ///< the order was not accepted because it could not be stored
  kOrderNotAudited,    ///< the order was not accepted because it could not be written to the audit log
};

/// An error of the agent. `kind` determines which members are set.
struct AgentError {
  AgentErrorKind kind = AgentErrorKind::kNone;  ///< cause
  std::string where;                            ///< the operation, file or member at fault
  std::string detail;                           ///< the invalid value, or why it is invalid
  int error_number = 0;                         ///< errno; 0: no system call failed
  std::uint64_t first_byte = 0;                 ///< offset at which the damage of a file begins
  std::uint64_t last_byte = 0;                  ///< offset at which the damage of a file ends
};

/// A readable message of one line, without a line end.
std::string Message(const AgentError& error);

/// A value, or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, AgentError>;

/// Called by boost::system::result on access to the value of a failed result. Throws std::runtime_error with
/// Message(error).
[[noreturn]] void throw_exception_from_error(const AgentError& error, const boost::source_location& location);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_ERROR_H_
