// SPDX-License-Identifier: Apache-2.0
//
// One call of a control API, on a connection of its own.
#ifndef BADGERBRIDGE_HTTP_API_CLIENT_H_
#define BADGERBRIDGE_HTTP_API_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <string>

#include "http_api/tls.h"

namespace badgerbridge::http_api {

struct Target {
  std::string unix_path;                   // if not empty; else
  boost::asio::ip::tcp::endpoint address;  // over TLS
  TlsFiles files;
  std::string server_name;  // that the server's certificate must be for; empty: its address
};

struct Reply {
  unsigned status = 0;  // 0: no answer came, and error says why
  boost::json::value body;
  std::string error;
  bool ok() const { return status >= 200 && status < 300; }
  // The answer's own words, or why there is none.
  std::string Why() const;
};

// Never throws for what the other side does. Answers over 16 MiB are an error.
boost::asio::awaitable<Reply> CallUnix(std::string path, std::string method, std::string target,
                                       std::string body, std::chrono::milliseconds timeout);
// Either kind; in the library with OpenSSL.
boost::asio::awaitable<Reply> Call(Target where, std::string method, std::string target, std::string body,
                                   std::chrono::milliseconds timeout);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_CLIENT_H_
