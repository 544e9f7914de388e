// SPDX-License-Identifier: Apache-2.0
//
// A control API over TCP with mutual TLS 1.3 (RFC 8446); earlier versions are refused. The common name of a
// client's certificate determines the client's role.
#ifndef BADGERBRIDGE_HTTP_API_TLS_H_
#define BADGERBRIDGE_HTTP_API_TLS_H_

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>

#include "http_api/server.h"

namespace badgerbridge::http_api {

/// Paths of the PEM files of one side of a TLS connection.
struct TlsFiles {
  std::string certificate;  ///< this side's, with its chain
  std::string key;          ///< the certificate's private key
  std::string authority;    ///< the CA certificate that verifies the other side's
};

/// A server over TLS.
class TlsServer {
 public:
  /// Listens on `address`. `roles` maps the common names of clients' certificates to roles; others have
  /// Role::kNone. Throws std::runtime_error with a one-line message if a file cannot be used or the address
  /// cannot be bound.
  TlsServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const TlsFiles& files,
            std::map<std::string, Role> roles, ServerLimits limits, Handler handler);
  /// Closes the connections.
  ~TlsServer();
  TlsServer(const TlsServer&) = delete;
  TlsServer& operator=(const TlsServer&) = delete;

  /// The listening address; with the assigned port if port 0 was requested.
  boost::asio::ip::tcp::endpoint address() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_TLS_H_
