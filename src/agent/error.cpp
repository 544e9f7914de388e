// SPDX-License-Identifier: Apache-2.0
#include "agent/error.h"

#include <cstring>
#include <stdexcept>

namespace badgerbridge::agent {
namespace {

std::string DamageMessage(const AgentError& error) {
  const std::string first = std::to_string(error.first_byte);
  return error.where + " is damaged from byte " + first + " to " + std::to_string(error.last_byte) +
         ", and intact batches follow; restore the file, or truncate it at byte " + first +
         " to continue from there (running instances are adopted in either case)";
}

std::string StartMessage(const AgentError& error) {
  const std::string where = error.where.empty() ? "" : error.where + ": ";
  return "cannot be started: " + where + std::strerror(error.error_number);
}

}  // namespace

std::string Message(const AgentError& error) {
  switch (error.kind) {
    case AgentErrorKind::kStoreIo:
    case AgentErrorKind::kAuditLogIo:
    case AgentErrorKind::kStateDirectory:
      return "cannot " + error.where + " " + error.detail + ": " + std::strerror(error.error_number);
    case AgentErrorKind::kStoreInUse:
      return error.where + " is in use by another agent";
    case AgentErrorKind::kStoreTooLarge:
      return error.where + " is too large for a state file";
    case AgentErrorKind::kStoreTruncated:
      return "cannot read " + error.where + ": the file shrank while it was read";
    case AgentErrorKind::kStoreInvalidBatch:
      return error.where + ": the batch at byte " + std::to_string(error.first_byte) +
             " is not a JSON array of records";
    case AgentErrorKind::kStoreDamaged:
      return DamageMessage(error);
    case AgentErrorKind::kAlreadyRunning:
      return "already runs";
    case AgentErrorKind::kStartFailed:
      return StartMessage(error);
    case AgentErrorKind::kWatchFailed:
      return std::string("cannot be followed: ") + std::strerror(error.error_number);
    case AgentErrorKind::kInvalidRequest:
      return error.where + " " + error.detail;
    case AgentErrorKind::kStoreUnavailable:
      return "the agent cannot store orders: " + error.detail;
    case AgentErrorKind::kOrderNotStored:
      return "the agent cannot store the order: " + error.detail;
    case AgentErrorKind::kOrderNotAudited:
      return "the agent cannot write its audit log, and takes no order without it";
    case AgentErrorKind::kNone:
    case AgentErrorKind::kInvalidDefinition:
    case AgentErrorKind::kInvalidRecord:
    case AgentErrorKind::kListenFailed:
      return error.detail;
  }
  return error.detail;
}

void throw_exception_from_error(const AgentError& error, const boost::source_location&) {
  throw std::runtime_error(Message(error));
}

}  // namespace badgerbridge::agent
