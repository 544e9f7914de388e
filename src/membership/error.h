// SPDX-License-Identifier: Apache-2.0

/// @file
/// The errors of the membership package, and the result type that returns them.
#ifndef BADGERBRIDGE_MEMBERSHIP_ERROR_H_
#define BADGERBRIDGE_MEMBERSHIP_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace badgerbridge::membership {

/// The kinds of errors.
enum class ErrorCode {
  kNotJsonObject,       ///< A value in etcd is not a JSON object.
  kNameMismatch,        ///< The name in a value in etcd differs from the name in its key.
  kUnknownStatus,       ///< The status is neither "Ready" nor "Terminating".
  kMissingAddress,      ///< A value in etcd has no address.
  kInvalidNumber,       ///< A numeric field is not a number, is negative or is too large.
  kUnreadablePassword,  ///< The password file cannot be read or is empty.
  kUnknownHistory,      ///< Changes before the source's first complete list, or in another epoch.
  kStaleVersion,        ///< A report older than an earlier report of the same source.
  kPageOutOfOrder,      ///< Does not continue the paged list in progress, or there is none.
};

/// An error with its location and the offending value.
struct MembershipError {
  ErrorCode code = ErrorCode::kNotJsonObject;  ///< The kind of error.
  std::string where;                           ///< The field, the file, or the name of the source.
  std::string value;                           ///< The offending value, possibly truncated; may be empty.
};

/// The error as one human-readable line, without a line feed.
std::string Message(const MembershipError& error);

/// A value or an error.
template <typename T>
using Result = boost::system::result<T, MembershipError>;

/// Called by `Result::value()` if there is no value. Throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const MembershipError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_ERROR_H_
