// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Errors of control API request bodies and calls, with the position or detail of each.
#ifndef BADGERBRIDGE_HTTP_API_ERROR_H_
#define BADGERBRIDGE_HTTP_API_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <chrono>
#include <cstddef>
#include <string>

namespace badgerbridge::http_api {

/// Why the body of a request was rejected.
enum class BodyErrorCode {
  kTrailingData,   ///< more data follows the JSON text, from `byte_offset`
  kNotJson,        ///< not a JSON text (RFC 8259); `detail` is the parser's message for `byte_offset`
  kNotJsonObject,  ///< a JSON text other than an object
};

/// The error of a request body that is not a JSON object.
struct BodyError {
  BodyErrorCode code = BodyErrorCode::kNotJson;  ///< what went wrong
  std::size_t byte_offset = 0;                   ///< position of the error in the body, from 0
  std::string detail;                            ///< the parser's message, if it has one
};

/// A one-line message, without a line end.
std::string Message(const BodyError& error);

/// A value parsed from a request body, or the error that prevented it.
template <typename T>
using BodyResult = boost::system::result<T, BodyError>;

/// Called by BodyResult::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const BodyError& error, const boost::source_location& location);

/// Why a call has no usable response.
enum class CallErrorCode {
  kSocketPathTooLong,  ///< the path does not fit into sun_path (unix(7))
  kInvalidTlsFiles,    ///< a certificate or key cannot be used; `detail` names the file
  kTimeout,            ///< no complete response within `timeout`
  kConnectionClosed,   ///< the server closed the connection without a response
  kTransport,          ///< connecting, sending or receiving failed; `detail` is the system's message
  kResponseNotJson,    ///< the response's body is not a JSON text (RFC 8259)
  kCallFailed,         ///< an exception in the client ended the call
};

/// The error of a call that has no usable response.
struct CallError {
  CallErrorCode code = CallErrorCode::kTransport;  ///< what went wrong
  std::string detail;                              ///< see CallErrorCode
  std::chrono::milliseconds timeout{};             ///< the call's timeout, for kTimeout
};

/// A one-line message, without a line end.
std::string Message(const CallError& error);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_ERROR_H_
