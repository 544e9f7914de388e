// SPDX-License-Identifier: Apache-2.0
//
// The errors that the admin API answers with, and the result type that carries them.
#ifndef BADGERBRIDGE_ADMIN_API_ERROR_H_
#define BADGERBRIDGE_ADMIN_API_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace badgerbridge::admin_api {

/// What is wrong with a request.
enum class RequestErrorCode {
  kUnknownPath,      ///< No operation has this path.
  kWrongMethod,      ///< The path's operation takes the method `detail`.
  kInvalidBody,      ///< The body is no JSON object; `detail` is the reader's message.
  kUnknownField,     ///< The body's field `detail` is not defined.
  kInvalidDeadline,  ///< The deadline is no number, or out of its range.
  kStopping,         ///< The proxy is stopping: nothing goes back behind that.
  kNoMembership,     ///< Membership from etcd is not configured.
  kNoZoneFailover,   ///< Zone failover is not configured.
};

/// A request that is not carried out; nothing has changed.
struct RequestError {
  RequestErrorCode code = RequestErrorCode::kUnknownPath;  ///< What is wrong.
  std::string detail;                                      ///< See RequestErrorCode; may be empty.
};

/// The status code of the response (RFC 9110, section 15.5).
unsigned HttpStatus(RequestErrorCode code);

/// The error as one line for people, without a line end.
std::string Message(const RequestError& error);

/// Either a value or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, RequestError>;

/// Called by `Result::value()` if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const RequestError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::admin_api

#endif  // BADGERBRIDGE_ADMIN_API_ERROR_H_
