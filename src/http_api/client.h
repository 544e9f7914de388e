// SPDX-License-Identifier: Apache-2.0
//
// A client for control APIs (HTTP/1.1, RFC 9112) that opens a connection for each call.
#ifndef BADGERBRIDGE_HTTP_API_CLIENT_H_
#define BADGERBRIDGE_HTTP_API_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "http_api/error.h"
#include "http_api/tls.h"

namespace badgerbridge::http_api {

/// The server to call: a Unix domain socket, or a TCP address over TLS.
struct Target {
  std::string unix_path;                   ///< path of the socket; empty: use `address`
  boost::asio::ip::tcp::endpoint address;  ///< for a connection over TLS
  TlsFiles files;                          ///< the client's certificate, and the CA of the server's
  std::string server_name;                 ///< expected in the server's certificate; empty: its address
};

/// The response to a call, or the error that prevented one.
struct Reply {
  unsigned status = 0;             ///< RFC 9110, section 15; 0: no response, see `error`
  boost::json::value body;         ///< the response's JSON body
  std::optional<CallError> error;  ///< set if there is no response

  /// Whether the status is successful (2xx).
  bool ok() const { return status >= 200 && status < 300; }

  /// A one-line message: the error that prevented a response, else the "error" member of the response, else
  /// its status.
  std::string ErrorMessage() const;
};

/// Calls the server on the Unix domain socket at `path`. `timeout` bounds the call from connecting to the end
/// of the response. Errors of the server or the connection are returned, not thrown; so is a response body
/// over 16 MiB.
boost::asio::awaitable<Reply> CallUnix(std::string path, std::string method, std::string target,
                                       std::string body, std::chrono::milliseconds timeout);

/// Like CallUnix(), for either kind of server. Part of the library badgerbridge_http_api_tls.
boost::asio::awaitable<Reply> Call(Target server, std::string method, std::string target, std::string body,
                                   std::chrono::milliseconds timeout);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_CLIENT_H_
