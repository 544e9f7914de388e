// SPDX-License-Identifier: Apache-2.0

/// @file
/// The errors of the membership package, and the result type that carries them.
#ifndef BADGERBRIDGE_MEMBERSHIP_ERROR_H_
#define BADGERBRIDGE_MEMBERSHIP_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace badgerbridge::membership {

/// What went wrong.
enum class ErrorCode {
  kNotJsonObject,       ///< A value in etcd is not a JSON object.
  kNameMismatch,        ///< A value in etcd names another backend than its key.
  kUnknownStatus,       ///< A backend's status is neither of the two that are defined.
  kMissingAddress,      ///< A value in etcd has no address.
  kInvalidNumber,       ///< A numeric field is no number, negative or too large.
  kUnreadablePassword,  ///< The file that should hold a password cannot be read, or is empty.
  kUnknownHistory,      ///< A report of changes to a list that its source has not reported.
  kStaleVersion,        ///< A report that is older than what its source has reported.
  kPageOutOfOrder,      ///< A report that does not belong to the paged list in progress.
};

/// One error: what went wrong, where, and the value that was wrong.
struct MembershipError {
  ErrorCode code = ErrorCode::kNotJsonObject;  ///< What went wrong.
  std::string where;                           ///< The field, the file, or the source of a report.
  std::string value;  ///< The wrong value, as far as it is worth showing; may be empty.
};

/// The error as one line for people, without a line feed.
std::string Message(const MembershipError& error);

/// Either a value or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, MembershipError>;

/// Called by `Result::value()` where there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const MembershipError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_ERROR_H_
