// SPDX-License-Identifier: Apache-2.0
//
// The accept loop and the table of connections of every server here, control API and gRPC alike: bounded, and
// paused while descriptors are short.
#ifndef BADGERBRIDGE_HTTP_API_ACCEPTOR_H_
#define BADGERBRIDGE_HTTP_API_ACCEPTOR_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <list>
#include <memory>

#include "net/one_shot_timer.h"

namespace badgerbridge::http_api::detail {

namespace asio = boost::asio;

struct Connection {
  std::function<void()> close;
  std::function<bool()> has_unread = [] { return false; };  // bytes that have come
  std::chrono::steady_clock::time_point since = std::chrono::steady_clock::now();
  bool asked = false;  // has sent a whole request
  bool busy = false;   // a request of it is being handled, or its answer written
};
using Connections = std::list<std::shared_ptr<Connection>>;

template <typename Socket>
bool HasUnread(const Socket& socket) {
  boost::system::error_code ignored;
  return socket.available(ignored) > 0;
}

// False if all are busy, about to be, or young.
inline bool MakeRoom(Connections& connections, std::chrono::milliseconds young) {
  const auto now = std::chrono::steady_clock::now();
  for (const bool asked : {false, true}) {
    const auto found = std::find_if(connections.begin(), connections.end(), [&](const auto& connection) {
      return connection->asked == asked && !connection->busy && !connection->has_unread() &&
             now - connection->since >= young;
    });
    if (found == connections.end()) continue;
    const auto connection = *found;
    connections.erase(found);
    connection->close();
    return true;
  }
  return false;
}

// Accepts connections and holds them; at the limit, one makes room for the next. Close ends all of it;
// connections end in their own time then, and hold what they need.
template <typename Protocol>
class Acceptor : public std::enable_shared_from_this<Acceptor<Protocol>> {
 public:
  using Socket = typename Protocol::socket;
  // One connection to its end. While it runs, connection->close ends it from outside.
  using Run = std::function<asio::awaitable<void>(Socket, std::shared_ptr<Connection>)>;

  Acceptor(asio::io_context& io, std::size_t most, std::chrono::milliseconds young, Run run)
      : io_(io), most_(most), young_(young), run_(std::move(run)), acceptor_(io), pause_(io) {}

  typename Protocol::acceptor& socket() { return acceptor_; }
  std::size_t connections() const { return connections_.size(); }

  void Start() {
    if (closed_) return;
    if (connections_.size() >= most_ && !MakeRoom(connections_, young_)) return StartAfter(kRoomPause);
    acceptor_.async_accept([self = this->shared_from_this()](boost::system::error_code error, Socket socket) {
      if (self->closed_ || error == asio::error::operation_aborted) return;
      if (error) return self->StartAfter(kAcceptPause);
      asio::co_spawn(self->io_, Hold(self, std::move(socket)), asio::detached);
      self->Start();
    });
  }

  void Close() {
    StopAccepting();
    for (const auto& connection : connections_) connection->close();
  }

  // Takes no further ones; those that are open go on.
  void StopAccepting() {
    closed_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    pause_.Disarm();
  }

 private:
  static constexpr std::chrono::milliseconds kRoomPause{5}, kAcceptPause{50};

  void StartAfter(std::chrono::milliseconds wait) {
    pause_.ArmAfter(wait, [this] { Start(); });
  }

  static asio::awaitable<void> Hold(std::shared_ptr<Acceptor> self, Socket socket) {
    auto connection = std::make_shared<Connection>();
    connection->close = [] {};
    self->connections_.push_back(connection);
    try {
      co_await self->run_(std::move(socket), connection);
    } catch (const std::exception& error) {
      std::cerr << "a connection failed: " << error.what() << '\n';
    }
    connection->close = [] {};
    connection->has_unread = [] { return false; };
    self->connections_.remove(connection);
  }

  asio::io_context& io_;
  const std::size_t most_;
  const std::chrono::milliseconds young_;
  const Run run_;
  typename Protocol::acceptor acceptor_;
  net::OneShotTimer pause_;
  Connections connections_;
  bool closed_ = false;
};

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_ACCEPTOR_H_
