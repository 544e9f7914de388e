// SPDX-License-Identifier: Apache-2.0
#include "etcd/error.h"

#include <boost/throw_exception.hpp>
#include <stdexcept>

namespace badgerbridge::etcd {

std::string Message(const ConnectionError& error) {
  switch (error.code) {
    case ConnectionErrorCode::kConnectTimeout:
      return "no connection within the time for it";
    case ConnectionErrorCode::kConnectFailed:
      return "cannot connect: " + error.detail;
    case ConnectionErrorCode::kHandshakeTimeout:
      return "TLS handshake timed out";
    case ConnectionErrorCode::kHandshakeFailed:
      return "TLS handshake failed: " + error.detail;
    case ConnectionErrorCode::kTransportFailed:
      return "the connection ended: " + error.detail;
    case ConnectionErrorCode::kServerUnresponsive:
      return "the link is silent: no answer to a ping";
    case ConnectionErrorCode::kClientUnresponsive:
      return "the client did not answer a PING in time";
    case ConnectionErrorCode::kClientNotReading:
      return "the client stopped reading responses";
    case ConnectionErrorCode::kPeerFinished:
      return "the other side ended the connection's work";
    case ConnectionErrorCode::kHttp2:
    case ConnectionErrorCode::kClosed:
      return error.detail;
  }
  return "unknown error";
}

void throw_exception_from_error(const ConnectionError& error, const boost::source_location& location) {
  boost::throw_exception(std::runtime_error(Message(error)), location);
}

}  // namespace badgerbridge::etcd
