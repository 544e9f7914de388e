// SPDX-License-Identifier: Apache-2.0
#include "membership/error.h"

#include <boost/throw_exception.hpp>
#include <stdexcept>

namespace badgerbridge::membership {

std::string Message(const MembershipError& error) {
  switch (error.code) {
    case ErrorCode::kNotJsonObject:
      return error.where + " is no JSON object";
    case ErrorCode::kNameMismatch:
      return "the value names \"" + error.value + "\", and not what its key does";
    case ErrorCode::kUnknownStatus:
      return "its status is neither Ready nor Terminating";
    case ErrorCode::kMissingAddress:
      return "it has no address";
    case ErrorCode::kInvalidNumber:
      return error.where + " is no number of at least 0";
    case ErrorCode::kUnreadablePassword:
      return "cannot read a password from " + error.where;
    case ErrorCode::kUnknownHistory:
      return error.where + ": changes up to version " + error.value + " do not apply to a known list";
    case ErrorCode::kStaleVersion:
      return error.where + ": version " + error.value + " is older than an earlier report";
    case ErrorCode::kPageOutOfOrder:
      return error.where + ": version " + error.value + " does not continue the list in progress";
  }
  return "unknown error";
}

void throw_exception_from_error(const MembershipError& error, const boost::source_location& location) {
  boost::throw_exception(std::runtime_error(Message(error)), location);
}

}  // namespace badgerbridge::membership
