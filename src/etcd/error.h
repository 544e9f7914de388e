// SPDX-License-Identifier: Apache-2.0

/// \file
/// Errors of etcd client connections and gRPC server connections. Errors of single calls are `Status`
/// (status.h).
#ifndef BADGERBRIDGE_ETCD_ERROR_H_
#define BADGERBRIDGE_ETCD_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace badgerbridge::etcd {

/// Why a connection ended or could not be opened.
enum class ConnectionErrorCode {
  kConnectTimeout,    ///< TCP connect and TLS handshake exceeded the connect timeout.
  kConnectFailed,     ///< TCP connect or the client's TLS handshake failed; `detail` is the system's message.
  kHandshakeTimeout,  ///< The client did not complete the TLS handshake in time.
  kHandshakeFailed,   ///< The server's TLS handshake failed; `detail` is the TLS library's message.
  kTransportFailed,   ///< A read or write failed, or the peer closed; `detail` is the system's message.
  kServerUnresponsive,  ///< The server did not answer a PING in time.
  kClientUnresponsive,  ///< The client did not answer a PING in time.
  kClientNotReading,    ///< The client does not read the data sent to it.
  kHttp2,               ///< Violation of HTTP/2 (RFC 9113); `detail` is nghttp2's message.
  kPeerFinished,        ///< The peer sent GOAWAY and the last call has ended.
  kClosed,              ///< Closed by this process; `detail` is the reason.
};

/// The end of a connection.
struct ConnectionError {
  ConnectionErrorCode code = ConnectionErrorCode::kClosed;  ///< What went wrong.
  std::string detail;                                       ///< See ConnectionErrorCode; may be empty.
};

/// A human-readable message in one line, without a newline.
std::string Message(const ConnectionError& error);

/// Success, or the error that ended the connection.
using ConnectionResult = boost::system::result<void, ConnectionError>;

/// Called by `ConnectionResult::value()` if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const ConnectionError& error,
                                             const boost::source_location& location);

/// How a client violated the protocol.
enum class ProtocolErrorCode {
  kHeadersTooLarge,  ///< The headers of a call exceed max_header_bytes.
  kMalformedBody,    ///< The body is not valid gRPC framing, or a message exceeds the limit.
  kHttp2,            ///< Violation of HTTP/2 (RFC 9113); the connection is lost.
};

/// A violation of the protocol by a client.
struct ProtocolError {
  ProtocolErrorCode code = ProtocolErrorCode::kHttp2;  ///< Kind of violation.
  std::string detail;                                  ///< Human-readable; may be empty.
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_ERROR_H_
