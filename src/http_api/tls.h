// SPDX-License-Identifier: Apache-2.0
//
// The control API over TCP: TLS 1.3 (RFC 8446) alone, with certificates on both sides. What a client may do
// follows from the common name of its certificate.
#ifndef BADGERBRIDGE_HTTP_API_TLS_H_
#define BADGERBRIDGE_HTTP_API_TLS_H_

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>

#include "http_api/server.h"

namespace badgerbridge::http_api {

struct TlsFiles {
  std::string certificate, key;  // PEM; the chain in the certificate's file
  std::string authority;         // PEM: who must have signed the other side's certificate
};

class TlsServer {
 public:
  // Throws std::runtime_error, one line, for files that are not to be used and addresses that can't be bound.
  TlsServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const TlsFiles& files,
            std::map<std::string, Role> roles, ServerLimits limits, Handler handler);
  ~TlsServer();
  TlsServer(const TlsServer&) = delete;
  TlsServer& operator=(const TlsServer&) = delete;

  boost::asio::ip::tcp::endpoint address() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_TLS_H_
