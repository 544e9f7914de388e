// SPDX-License-Identifier: Apache-2.0

/// \file
/// The result of a gRPC call: gRPC's status code ("Status codes and their use in gRPC", grpc.io) and, if no
/// status was received, the reason.
#ifndef BADGERBRIDGE_ETCD_STATUS_H_
#define BADGERBRIDGE_ETCD_STATUS_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>
#include <string_view>

namespace badgerbridge::etcd {

/// gRPC's status codes, with the numbers of the protocol.
enum class Code {
  kOk = 0,                  ///< Success.
  kCancelled = 1,           ///< Cancelled, usually by the caller.
  kUnknown = 2,             ///< No better code is known.
  kInvalidArgument = 3,     ///< The request is invalid, whatever the state.
  kDeadlineExceeded = 4,    ///< Not completed before the deadline.
  kNotFound = 5,            ///< The requested entity does not exist.
  kAlreadyExists = 6,       ///< The entity to create already exists.
  kPermissionDenied = 7,    ///< The caller may not do this.
  kResourceExhausted = 8,   ///< A quota or limit is exceeded.
  kFailedPrecondition = 9,  ///< The system's state does not allow it.
  kAborted = 10,            ///< Aborted, as by a conflict.
  kOutOfRange = 11,         ///< Outside the valid range; in etcd a compacted or future revision.
  kUnimplemented = 12,      ///< The method is not supported.
  kInternal = 13,           ///< An invariant is broken.
  kUnavailable = 14,        ///< Currently unavailable; a retry may succeed.
  kDataLoss = 15,           ///< Data is lost or corrupt.
  kUnauthenticated = 16,    ///< No valid credentials.
};
/// The highest number among gRPC's codes.
inline constexpr int kMaxCode = 16;

/// The code's name in gRPC's documentation, such as "UNAVAILABLE".
std::string_view Name(Code code);

/// How a call ended, in addition to its code.
enum class Ending {
  kStatus,      ///< The server sent a status, in the trailers or as Trailers-Only.
  kNoStatus,    ///< The stream ended without a status.
  kHttpStatus,  ///< Not a gRPC response: wrong HTTP status or content type.
  kReset,       ///< The server sent RST_STREAM.
  kRefused,     ///< Never processed: REFUSED_STREAM, or above GOAWAY's last stream.
  kLost,        ///< The connection ended.
  kTooLarge,    ///< A message or the headers exceed a limit.
  kMalformed,   ///< The response is malformed, or not a message of the expected type.
  kTimeout,     ///< The caller's timeout has passed.
  kCancelled,   ///< The caller cancelled the call.
};
/// A human-readable name, such as "connection lost".
std::string_view Name(Ending ending);

/// The result of a call.
struct Status {
  Code code = Code::kOk;            ///< The server's code, or gRPC's code for the ending.
  Ending ending = Ending::kStatus;  ///< How the call ended.
  std::string message;              ///< The server's message, or details of the ending; may be empty.

  /// Whether the call succeeded.
  bool ok() const { return code == Code::kOk && ending == Ending::kStatus; }
  /// Whether another endpoint or a later attempt may succeed. The failed call may still have been executed.
  bool IsRetriable() const;
  /// A human-readable line, such as "UNAVAILABLE (connection lost): …".
  std::string ToString() const;
};

/// The status for a response body that is not a message of the expected type.
Status MalformedResponse();

/// Either a value or the status of the call that failed.
template <typename T>
using Result = boost::system::result<T, Status>;

/// Called by `Result::value()` if there is no value: throws std::runtime_error with the status.
[[noreturn]] void throw_exception_from_error(const Status& status, const boost::source_location& location);

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_STATUS_H_
