// SPDX-License-Identifier: Apache-2.0
#include "etcd/status.h"

#include <boost/throw_exception.hpp>
#include <stdexcept>

namespace badgerbridge::etcd {

std::string_view Name(Code code) {
  constexpr std::string_view kNames[] = {
      "OK",        "CANCELLED",      "UNKNOWN",           "INVALID_ARGUMENT",   "DEADLINE_EXCEEDED",
      "NOT_FOUND", "ALREADY_EXISTS", "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
      "ABORTED",   "OUT_OF_RANGE",   "UNIMPLEMENTED",     "INTERNAL",           "UNAVAILABLE",
      "DATA_LOSS", "UNAUTHENTICATED"};
  return kNames[static_cast<int>(code)];
}

std::string_view Name(Ending ending) {
  constexpr std::string_view kNames[] = {
      "status",          "no status", "HTTP status", "stream reset",      "refused",
      "connection lost", "too large", "malformed",   "no answer in time", "given up"};
  return kNames[static_cast<int>(ending)];
}

bool Status::IsRetriable() const {
  switch (ending) {
    case Ending::kStatus:
      return code == Code::kUnavailable || code == Code::kAborted || code == Code::kDeadlineExceeded;
    case Ending::kCancelled:
      return false;
    default:
      return true;
  }
}

std::string Status::ToString() const {
  std::string text(Name(code));
  if (ending != Ending::kStatus) text += " (" + std::string(Name(ending)) + ")";
  return message.empty() ? text : text + ": " + message;
}

Status MalformedResponse() { return {Code::kInternal, Ending::kMalformed, "no such message"}; }

void throw_exception_from_error(const Status& status, const boost::source_location& location) {
  boost::throw_exception(std::runtime_error(status.ToString()), location);
}

}  // namespace badgerbridge::etcd
