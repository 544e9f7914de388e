// SPDX-License-Identifier: Apache-2.0

/// \file
/// The errors of connections to etcd and of gRPC servers. Errors of single calls are `Status` (status.h).
#ifndef BADGERBRIDGE_ETCD_ERROR_H_
#define BADGERBRIDGE_ETCD_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace badgerbridge::etcd {

/// Why a connection, or an attempt to open one, has ended.
enum class ConnectionErrorCode {
  kConnectTimeout,    ///< Not connected, with the TLS handshake, within the connect timeout.
  kConnectFailed,     ///< Connecting or the client's TLS handshake failed; `detail` is the system's message.
  kHandshakeTimeout,  ///< The client has not completed the TLS handshake in time.
  kHandshakeFailed,   ///< The server's TLS handshake failed; `detail` is the TLS library's message.
  kTransportFailed,   ///< A read or write failed, or the peer closed; `detail` is the system's message.
  kServerUnresponsive,  ///< The server did not answer a PING in time.
  kClientUnresponsive,  ///< The client did not answer a PING in time.
  kClientNotReading,    ///< The client does not read what it is sent.
  kHttp2,               ///< HTTP/2 (RFC 9113) was violated; `detail` is nghttp2's message.
  kPeerFinished,        ///< After GOAWAY and the last call, nothing is left to do on the connection.
  kClosed,              ///< Closed by this process; `detail` is the reason.
};

/// The end of a connection.
struct ConnectionError {
  ConnectionErrorCode code = ConnectionErrorCode::kClosed;  ///< What went wrong.
  std::string detail;                                       ///< See ConnectionErrorCode; may be empty.
};

/// The error as one line for people, without a line end.
std::string Message(const ConnectionError& error);

/// Success, or the error that ended the connection.
using ConnectionResult = boost::system::result<void, ConnectionError>;

/// Called by `ConnectionResult::value()` if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const ConnectionError& error,
                                             const boost::source_location& location);

/// How a client violated the protocol.
enum class ProtocolErrorCode {
  kHeadersTooLarge,  ///< The headers of a call exceed the limit.
  kMalformedBody,    ///< The body is not framed as gRPC's, or a message exceeds the limit.
  kHttp2,            ///< HTTP/2 (RFC 9113) itself; the connection is lost.
};

/// A violation of the protocol by a client.
struct ProtocolError {
  ProtocolErrorCode code = ProtocolErrorCode::kHttp2;  ///< What is wrong.
  std::string detail;                                  ///< For people; may be empty.
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_ERROR_H_
