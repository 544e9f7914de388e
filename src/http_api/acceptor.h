// SPDX-License-Identifier: Apache-2.0
//
// The accept loop of the control API and gRPC servers. It limits the open connections, and retries after a
// delay if accept() fails, for example when the process is out of file descriptors.
#ifndef BADGERBRIDGE_HTTP_API_ACCEPTOR_H_
#define BADGERBRIDGE_HTTP_API_ACCEPTOR_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>

#include "http_api/connection.h"
#include "net/one_shot_timer.h"

namespace badgerbridge::http_api::detail {

namespace asio = boost::asio;

/// Accepts connections and keeps a list of them. At the limit, an idle connection is closed before the next
/// one is accepted. Connections may outlive Close(): each holds a shared pointer to its Acceptor. Not
/// thread-safe: use it only on the io_context.
template <typename Protocol>
class Acceptor : public std::enable_shared_from_this<Acceptor<Protocol>> {
 public:
  /// The socket of an accepted connection.
  using Socket = typename Protocol::socket;
  /// Serves one connection until it ends. It sets `Connection::close`, which ends it early.
  using ConnectionHandler = std::function<asio::awaitable<void>(Socket, std::shared_ptr<Connection>)>;

  /// At most `max_connections` are open at a time. A connection that was active less than `min_idle` ago is
  /// not evicted for a new one.
  Acceptor(asio::io_context& io, std::size_t max_connections, std::chrono::milliseconds min_idle,
           ConnectionHandler handler)
      : io_(io),
        max_connections_(max_connections),
        min_idle_(min_idle),
        handler_(std::move(handler)),
        acceptor_(io),
        retry_timer_(io) {}

  /// The listening socket. The server opens it, binds it and calls listen() before Start().
  typename Protocol::acceptor& listening_socket() { return acceptor_; }
  /// The number of open connections.
  std::size_t connections() const { return connections_.size(); }

  /// Accepts connections until Close() or StopAccepting().
  void Start() {
    if (closed_) return;
    if (connections_.size() >= max_connections_ && !EvictIdleConnection(connections_, min_idle_))
      return StartAfter(kEvictionRetryDelay);
    acceptor_.async_accept([self = this->shared_from_this()](boost::system::error_code error, Socket socket) {
      if (self->closed_ || error == asio::error::operation_aborted) return;
      if (error) return self->StartAfter(kAcceptRetryDelay);
      asio::co_spawn(self->io_, RunConnection(self, std::move(socket)), asio::detached);
      self->Start();
    });
  }

  /// Stops accepting, and closes the open connections.
  void Close() {
    StopAccepting();
    for (const auto& connection : connections_) connection->close();
  }

  /// Closes the listening socket; open connections continue.
  void StopAccepting() {
    closed_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.Disarm();
  }

 private:
  static constexpr std::chrono::milliseconds kEvictionRetryDelay{5};
  static constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

  void StartAfter(std::chrono::milliseconds delay) {
    retry_timer_.ArmAfter(delay, [this] { Start(); });
  }

  static asio::awaitable<void> RunConnection(std::shared_ptr<Acceptor> self, Socket socket) {
    auto connection = std::make_shared<Connection>();
    connection->close = [] {};
    self->connections_.push_back(connection);
    try {
      co_await self->handler_(std::move(socket), connection);
    } catch (const std::exception& error) {
      std::cerr << "connection handler failed: " << error.what() << "; the connection is closed" << '\n';
    }
    connection->close = [] {};
    connection->has_unread_bytes = [] { return false; };
    self->connections_.remove(connection);
  }

  asio::io_context& io_;
  const std::size_t max_connections_;
  const std::chrono::milliseconds min_idle_;
  const ConnectionHandler handler_;
  typename Protocol::acceptor acceptor_;
  net::OneShotTimer retry_timer_;
  Connections connections_;
  bool closed_ = false;
};

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_ACCEPTOR_H_
