// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The errors of the control APIs' messages and calls: what went wrong, where, and the value that was wrong.
#ifndef BADGERBRIDGE_HTTP_API_ERROR_H_
#define BADGERBRIDGE_HTTP_API_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <chrono>
#include <cstddef>
#include <string>

namespace badgerbridge::http_api {

/// What is wrong with the body of a request.
enum class BodyErrorCode {
  kTrailingData,   ///< something follows the JSON text, from `byte_offset` on
  kNotJson,        ///< no JSON text (RFC 8259); `detail` is the parser's message for `byte_offset`
  kNotJsonObject,  ///< a JSON text other than an object
};

/// A request's body that is no JSON object.
struct BodyError {
  BodyErrorCode code = BodyErrorCode::kNotJson;  ///< what went wrong
  std::size_t byte_offset = 0;                   ///< where in the body, from 0
  std::string detail;                            ///< the parser's message, if it has one
};

/// One line for people, without a line end.
std::string Message(const BodyError& error);

/// A value, or what is wrong with the body that it was to be read from.
template <typename T>
using BodyResult = boost::system::result<T, BodyError>;

/// Called by BodyResult::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const BodyError& error, const boost::source_location& location);

/// Why a call got no answer that can be read.
enum class CallErrorCode {
  kSocketPathTooLong,  ///< the path does not fit into sun_path (unix(7))
  kInvalidTlsFiles,    ///< a certificate or key cannot be used; `detail` names the file
  kTimeout,            ///< no complete answer within `timeout`
  kConnectionClosed,   ///< the server closed the connection before it answered
  kTransport,          ///< connecting, sending or receiving failed; `detail` is the system's message
  kAnswerNotJson,      ///< the answer's body is no JSON text (RFC 8259)
  kCallFailed,         ///< the call ended with an exception of this program
};

/// A call without an answer.
struct CallError {
  CallErrorCode code = CallErrorCode::kTransport;  ///< what went wrong
  std::string detail;                              ///< see CallErrorCode
  std::chrono::milliseconds timeout{};             ///< the call's time-out, of kTimeout
};

/// One line for people, without a line end.
std::string Message(const CallError& error);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_ERROR_H_
