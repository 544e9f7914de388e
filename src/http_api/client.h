// SPDX-License-Identifier: Apache-2.0
//
// One call of a control API (HTTP/1.1, RFC 9112), on a connection of its own.
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

/// The server of a call: a Unix domain socket, or an address that is called over TLS.
struct Target {
  std::string unix_path;                   ///< of the socket; empty: `address` is called
  boost::asio::ip::tcp::endpoint address;  ///< called over TLS
  TlsFiles files;                          ///< the caller's certificate and its authority
  std::string server_name;                 ///< that the server's certificate must be for; empty: its address
};

/// The answer to a call, or why there is none.
struct Reply {
  unsigned status = 0;             ///< RFC 9110, section 15; 0: no answer came, and `error` says why
  boost::json::value body;         ///< the answer's body
  std::optional<CallError> error;  ///< why there is no answer

  /// Whether the status is successful (2xx).
  bool ok() const { return status >= 200 && status < 300; }

  /// One line for people: why there is no answer, else the "error" member of the answer, else its status.
  std::string ErrorMessage() const;
};

/// Calls the server on the Unix domain socket at `path`. `timeout` bounds the call from connecting to the end
/// of the answer. Does not throw for what the server does; an answer over 16 MiB is an error.
boost::asio::awaitable<Reply> CallUnix(std::string path, std::string method, std::string target,
                                       std::string body, std::chrono::milliseconds timeout);

/// The same for either kind of server. Part of the library badgerbridge_http_api_tls.
boost::asio::awaitable<Reply> Call(Target server, std::string method, std::string target, std::string body,
                                   std::chrono::milliseconds timeout);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_CLIENT_H_
