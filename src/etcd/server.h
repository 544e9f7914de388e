// SPDX-License-Identifier: Apache-2.0
//
// A gRPC server on a socket of the caller's io_context, in cleartext or with TLS: the accept loop, and
// Http2Server on each connection, with bounds on its silence, idleness and unread answers.
#ifndef BADGERBRIDGE_ETCD_SERVER_H_
#define BADGERBRIDGE_ETCD_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "etcd/http2_server.h"
#include "http_api/tls.h"
#include "net/one_shot_timer.h"

namespace badgerbridge::etcd {

class ServerConnection;

// Times of 0 bound nothing.
struct ServerOptions {
  Http2ServerLimits limits;
  std::size_t connections = 4096;
  std::optional<http_api::TlsFiles> tls;
  std::chrono::milliseconds handshake_timeout{2000};  // of TLS
  // A client from which nothing came for ping_every is asked; one that does not answer within ping_timeout
  // is gone.
  std::chrono::milliseconds ping_every{10000}, ping_timeout{5000};
  std::chrono::milliseconds idle_timeout{300000};  // without a call under way
  std::chrono::milliseconds stall_timeout{30000};  // without progress, though something is unsent
  // For tests' faults. While `silent`, a connection reads and writes nothing, but stays open. `written` may
  // change the bytes that go out; false: the connection ends behind them.
  std::function<bool()> silent;
  std::function<bool(const ServerConnection&, std::string*)> written;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket,
                   const ServerOptions& options, boost::asio::ssl::context* tls);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Valid while the connection is. After using it from outside one of its handlers, call Flush.
  Http2Server& http2() { return *http2_; }
  // Sends what can be sent now. `on_progress` is called whenever bytes have left.
  void Flush();
  std::function<void()> on_progress;
  // Once: after every call's on_closed.
  std::function<void(const std::string& why)> on_disconnected;

  void Close(const std::string& why);
  void CloseWhenFlushed();
  bool closed() const { return closed_; }

 private:
  friend class Server;
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<bool> Handshake();
  boost::asio::awaitable<void> Supervise();
  void Write(std::string bytes);
  void Written(const boost::system::error_code& error, bool last);
  boost::asio::ip::tcp::socket& socket() { return tls_ ? tls_->next_layer() : plain_; }

  boost::asio::io_context& io_;
  const ServerOptions& options_;
  std::optional<boost::asio::ssl::stream<boost::asio::ip::tcp::socket>> tls_;
  boost::asio::ip::tcp::socket plain_;
  std::unique_ptr<Http2Server> http2_;
  net::OneShotTimer handshake_timer_;
  boost::asio::steady_timer pause_;  // of Supervise
  boost::asio::steady_timer ended_;  // cancelled by Close
  std::chrono::steady_clock::time_point heard_, busy_, progress_;
  std::string out_;
  bool open_ = false, closed_ = false, feeding_ = false, writing_ = false, close_when_flushed_ = false;
};

class Server {
 public:
  // Gives a new connection its handlers, before the connection's http2() is there. It may keep the connection
  // until on_disconnected.
  using OnConnection = std::function<Http2ServerHandler(const std::shared_ptr<ServerConnection>&)>;

  // Throws std::runtime_error, one line, for files of TLS that are not to be used and addresses that can't be
  // bound.
  Server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, ServerOptions options,
         OnConnection on_connection);
  ~Server();  // ends its connections
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  boost::asio::ip::tcp::endpoint address() const;
  std::size_t connections() const;
  // Takes no further connections, and on the open ones no further calls; those under way go on.
  void StopAccepting();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_SERVER_H_
