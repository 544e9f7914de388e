// SPDX-License-Identifier: Apache-2.0

/// \file
/// A gRPC server on a TCP socket, in cleartext or with TLS. Serves each accepted connection with a
/// ServerConnection.
#ifndef BADGERBRIDGE_ETCD_SERVER_H_
#define BADGERBRIDGE_ETCD_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "etcd/server_connection.h"

namespace badgerbridge::etcd {

/// A running server. May be used only on the io_context's thread.
class Server {
 public:
  /// Returns the handler for a new connection. The connection's http2() must not be used before this callback
  /// returns. The callback may keep the connection until on_disconnected.
  using OnConnection = std::function<Http2ServerHandler(const std::shared_ptr<ServerConnection>&)>;

  /// Listens immediately. Throws std::runtime_error with a one-line message if the TLS files cannot be used
  /// or the address cannot be bound. `io` must outlive the server.
  Server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, ServerOptions options,
         OnConnection on_connection);
  /// Closes all connections.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  boost::asio::ip::tcp::endpoint address() const;  ///< Listening address, with the bound port.
  std::size_t connections() const;                 ///< Number of open connections.
  /// Accepts no more connections, and no more calls on open connections. Calls in progress continue.
  void StopAccepting();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_SERVER_H_
