// SPDX-License-Identifier: Apache-2.0

/// \file
/// One connection of a gRPC server: Http2Server on a TCP socket, in cleartext or with TLS, and the timeouts
/// that end it.
#ifndef BADGERBRIDGE_ETCD_SERVER_CONNECTION_H_
#define BADGERBRIDGE_ETCD_SERVER_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "etcd/error.h"
#include "etcd/http2_server.h"
#include "etcd/transport.h"
#include "http_api/tls.h"
#include "net/one_shot_timer.h"
#include "net/read_timeout_grace.h"

namespace badgerbridge::etcd {

class ServerConnection;

/// Faults of a server, for tests of clients. Functions that are empty are not called.
struct ServerFaults {
  /// While true, connections read and write nothing, but stay open.
  std::function<bool()> is_frozen;
  /// May change bytes before they are sent. False: the connection is closed after them.
  std::function<bool(const ServerConnection&, std::string*)> filter_output;
};

/// Configuration of a server and its connections. A time of 0 sets no limit.
struct ServerOptions {
  Http2ServerLimits limits;                           ///< Of each connection.
  std::size_t max_connections = 4096;                 ///< At the limit no further connection is accepted.
  std::optional<http_api::TlsFiles> tls;              ///< None: cleartext.
  std::chrono::milliseconds handshake_timeout{2000};  ///< Of TLS.
  std::chrono::milliseconds ping_interval{10000};     ///< After this time without a byte a PING is sent.
  std::chrono::milliseconds ping_timeout{5000};       ///< For the answer to a PING; then the client is gone.
  std::chrono::milliseconds idle_timeout{300000};     ///< Without a call; then GOAWAY.
  std::chrono::milliseconds stall_timeout{30000};     ///< Without progress while something is unsent.
  ServerFaults faults;                                ///< For tests only.
};

/// One connection. To be used on the io_context's thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// Takes over an accepted socket. `io`, `options` and `tls` must outlive this; `tls` null: cleartext.
  ServerConnection(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket,
                   const ServerOptions& options, boost::asio::ssl::context* tls);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// To be called once, before http2() and Run: `handler` receives the calls.
  void SetHandler(Http2ServerHandler handler);
  /// Serves the connection to its end.
  boost::asio::awaitable<void> Run();

  /// The HTTP/2 connection. Call Flush after using it from outside of its handlers.
  Http2Server& http2() { return *http2_; }
  /// Sends what can be sent now.
  void Flush();
  /// Closes the connection at once, and ends its calls. `reason` is for people.
  void Close(const std::string& reason);
  /// Closes the connection once everything is sent.
  void CloseWhenFlushed();
  /// Whether the connection has ended.
  bool is_closed() const { return is_closed_; }

  /// Called whenever bytes were written.
  std::function<void()> on_progress;
  /// Called once, after the on_closed of every call.
  std::function<void(const ConnectionError& error)> on_disconnected;

 private:
  using Clock = std::chrono::steady_clock;

  boost::asio::awaitable<bool> Handshake();
  boost::asio::awaitable<void> Read();
  boost::asio::awaitable<void> MonitorTimeouts();
  std::chrono::milliseconds MonitorInterval() const;
  void CheckTimeouts(Clock::time_point now);
  void Write(std::string bytes, bool is_last);
  void OnWritten(const boost::system::error_code& error, bool is_last);
  void CloseWith(const ConnectionError& error);
  bool IsFrozen() const { return options_.faults.is_frozen && options_.faults.is_frozen(); }

  boost::asio::io_context& io_;
  const ServerOptions& options_;
  Transport transport_;
  std::unique_ptr<Http2Server> http2_;
  net::OneShotTimer handshake_timer_;
  boost::asio::steady_timer monitor_timer_;
  boost::asio::steady_timer until_closed_;  // never expires; cancelled by Close
  Clock::time_point last_received_at_;
  Clock::time_point last_busy_at_;      // with a call in progress
  Clock::time_point last_progress_at_;  // a write ended, or nothing was unsent
  std::optional<Clock::time_point> pinged_at_;
  net::ReadTimeoutGrace ping_grace_;
  std::string output_;  // being written
  bool is_open_ = false;
  bool is_closed_ = false;
  bool is_feeding_ = false;
  bool is_writing_ = false;
  bool closes_when_flushed_ = false;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_SERVER_CONNECTION_H_
