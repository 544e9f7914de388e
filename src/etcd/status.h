// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a gRPC call ended: gRPC's status codes ("Status codes and their use in gRPC", grpc.io) and, where no
/// status came, the reason. Pure.
#ifndef BADGERBRIDGE_ETCD_STATUS_H_
#define BADGERBRIDGE_ETCD_STATUS_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>
#include <string_view>

namespace badgerbridge::etcd {

/// gRPC's status codes; the numbers are the protocol's.
enum class Code {
  kOk = 0,                  ///< Success.
  kCancelled = 1,           ///< Cancelled, usually by the caller.
  kUnknown = 2,             ///< No better code is known.
  kInvalidArgument = 3,     ///< The request itself is wrong.
  kDeadlineExceeded = 4,    ///< Not complete in time.
  kNotFound = 5,            ///< What was requested does not exist.
  kAlreadyExists = 6,       ///< What was to be created exists.
  kPermissionDenied = 7,    ///< The caller may not do this.
  kResourceExhausted = 8,   ///< A quota or limit is exceeded.
  kFailedPrecondition = 9,  ///< The system's state does not allow it.
  kAborted = 10,            ///< Aborted, as by a conflict.
  kOutOfRange = 11,         ///< Beyond the valid range; of etcd: a compacted or future revision.
  kUnimplemented = 12,      ///< The method is not supported.
  kInternal = 13,           ///< An invariant is broken.
  kUnavailable = 14,        ///< Unavailable now; a retry may succeed.
  kDataLoss = 15,           ///< Data is lost or corrupt.
  kUnauthenticated = 16,    ///< No valid credentials.
};
/// The highest number among gRPC's codes.
inline constexpr int kMaxCode = 16;

/// The code's name in gRPC's documentation, such as "UNAVAILABLE".
std::string_view Name(Code code);

/// How a call ended, beside its code.
enum class Ending {
  kStatus,      ///< With a status, in the trailers or in Trailers-Only.
  kNoStatus,    ///< The stream ended without a status.
  kHttpStatus,  ///< No gRPC response: another HTTP status, or another content type.
  kReset,       ///< RST_STREAM.
  kRefused,     ///< RST_STREAM with REFUSED_STREAM, or beyond GOAWAY's last stream: never processed.
  kLost,        ///< The connection ended.
  kTooLarge,    ///< A message or the headers exceed a limit.
  kMalformed,   ///< The response is not gRPC's, or not a message of the expected type.
  kTimeout,     ///< The caller's timeout has passed.
  kCancelled,   ///< The caller has cancelled it.
};
/// The ending as words for people, such as "connection lost".
std::string_view Name(Ending ending);

/// The result of a call.
struct Status {
  Code code = Code::kOk;            ///< The server's code, or the one that gRPC prescribes for the ending.
  Ending ending = Ending::kStatus;  ///< How the call ended.
  std::string message;              ///< The server's message or a detail of the ending; may be empty.

  /// Whether the call succeeded.
  bool ok() const { return code == Code::kOk && ending == Ending::kStatus; }
  /// Whether another endpoint, or a later attempt, may succeed. Says nothing of whether the call ran.
  bool IsRetriable() const;
  /// One line for people: "UNAVAILABLE (connection lost): …".
  std::string ToString() const;
};

/// The status of a response body that is not a message of the expected type.
Status MalformedResponse();

/// Either a value or the status of the call that failed.
template <typename T>
using Result = boost::system::result<T, Status>;

/// Called by `Result::value()` if there is no value: throws std::runtime_error with the status.
[[noreturn]] void throw_exception_from_error(const Status& status, const boost::source_location& location);

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_STATUS_H_
