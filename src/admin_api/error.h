// SPDX-License-Identifier: Apache-2.0
//
// Errors of admin API requests, and the result type that carries them.
#ifndef BADGERBRIDGE_ADMIN_API_ERROR_H_
#define BADGERBRIDGE_ADMIN_API_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace badgerbridge::admin_api {

/// Why a request was rejected.
enum class RequestErrorCode {
  kUnknownPath,      ///< No operation has this path.
  kWrongMethod,      ///< The path's operation requires the method `detail`.
  kInvalidBody,      ///< The body is not a JSON object; `detail` is the parser's message.
  kUnknownField,     ///< The body's field `detail` is not defined.
  kInvalidDeadline,  ///< The deadline is not a number, or is out of range.
  kStopping,         ///< The proxy is stopping, which cannot be undone.
  kNoMembership,     ///< Membership from etcd is not configured.
  kNoZoneFailover,   ///< Zone failover is not configured.
};

/// The reason that a request was rejected. A rejected request has changed nothing.
struct RequestError {
  RequestErrorCode code = RequestErrorCode::kUnknownPath;  ///< The kind of error.
  std::string detail;                                      ///< See RequestErrorCode; may be empty.
};

/// The HTTP status code of an error response (RFC 9110, section 15.5).
unsigned HttpStatus(RequestErrorCode code);

/// A one-line description of the error for operators, without a trailing newline.
std::string Message(const RequestError& error);

/// Either a value or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, RequestError>;

/// Called by `Result::value()` if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const RequestError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::admin_api

#endif  // BADGERBRIDGE_ADMIN_API_ERROR_H_
