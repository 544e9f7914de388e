// SPDX-License-Identifier: Apache-2.0

/// \file
/// A gRPC server on a TCP socket, in cleartext or with TLS: accepts connections, and serves each with a
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

/// A running server. To be used on the io_context's thread only.
class Server {
 public:
  /// Gives a new connection its handler; the connection's http2() does not exist before it returns. It may
  /// keep the connection until on_disconnected.
  using OnConnection = std::function<Http2ServerHandler(const std::shared_ptr<ServerConnection>&)>;

  /// Listens at once. Throws std::runtime_error, one line, for TLS files that cannot be used and addresses
  /// that cannot be bound. `io` must outlive this.
  Server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, ServerOptions options,
         OnConnection on_connection);
  /// Closes all connections.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  boost::asio::ip::tcp::endpoint address() const;  ///< Where it listens.
  std::size_t connections() const;                 ///< Those that are open.
  /// Accepts no further connections, and no further calls on those that are open; calls in progress continue.
  void StopAccepting();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_SERVER_H_
