// SPDX-License-Identifier: Apache-2.0
//
// A control API over TCP: TLS 1.3 (RFC 8446) alone, with certificates on both sides. The common name of a
// client's certificate decides what the client may do.
#ifndef BADGERBRIDGE_HTTP_API_TLS_H_
#define BADGERBRIDGE_HTTP_API_TLS_H_

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>

#include "http_api/server.h"

namespace badgerbridge::http_api {

/// The files of one side of a TLS connection, in PEM.
struct TlsFiles {
  std::string certificate;  ///< this side's, with its chain
  std::string key;          ///< the certificate's private key
  std::string authority;    ///< the authority that must have signed the other side's certificate
};

/// A server over TLS.
class TlsServer {
 public:
  /// Listens on `address`. `roles` maps the common names of clients' certificates to what they may do; others
  /// have Role::kNone. Throws std::runtime_error, one line, for files that cannot be used and an address that
  /// can't be bound.
  TlsServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const TlsFiles& files,
            std::map<std::string, Role> roles, ServerLimits limits, Handler handler);
  /// Closes the connections.
  ~TlsServer();
  TlsServer(const TlsServer&) = delete;
  TlsServer& operator=(const TlsServer&) = delete;

  /// Where it listens; the port that was taken if port 0 was asked for.
  boost::asio::ip::tcp::endpoint address() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_TLS_H_
