// SPDX-License-Identifier: Apache-2.0

/// \file
/// One connection of a gRPC server: Http2Server on a TCP socket, in cleartext or with TLS, with the timeouts
/// that close it.
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

/// Fault injection for tests of clients. Empty functions are not called.
struct ServerFaults {
  /// While true, connections read and write nothing, but stay open.
  std::function<bool()> is_frozen;
  /// May modify output before it is sent. If it returns false, the connection is closed after that output.
  std::function<bool(const ServerConnection&, std::string*)> filter_output;
};

/// Configuration of a server and its connections. A timeout or interval of 0 disables it.
struct ServerOptions {
  Http2ServerLimits limits;                           ///< Limits of each connection.
  std::size_t max_connections = 4096;                 ///< At the limit no more connections are accepted.
  std::optional<http_api::TlsFiles> tls;              ///< Cleartext if empty.
  std::chrono::milliseconds handshake_timeout{2000};  ///< For the TLS handshake.
  std::chrono::milliseconds ping_interval{10000};  ///< A PING is sent after this time without received bytes.
  std::chrono::milliseconds ping_timeout{5000};    ///< Closes the connection if a PING is not answered.
  std::chrono::milliseconds idle_timeout{300000};  ///< Sends GOAWAY after this time without calls.
  std::chrono::milliseconds stall_timeout{30000};  ///< Closes the connection if output makes no progress.
  ServerFaults faults;                             ///< For tests only.
};

/// One connection. May be used only on the io_context's thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// Takes ownership of an accepted socket. `io`, `options` and `tls` must outlive the connection. Cleartext
  /// if `tls` is null.
  ServerConnection(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket,
                   const ServerOptions& options, boost::asio::ssl::context* tls);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Sets the handler for calls. Must be called once, before http2() and Run.
  void SetHandler(Http2ServerHandler handler);
  /// Serves the connection until it ends.
  boost::asio::awaitable<void> Run();

  /// The HTTP/2 connection. Call Flush after using it outside its handlers.
  Http2Server& http2() { return *http2_; }
  /// Starts to send all output that can be sent now.
  void Flush();
  /// Closes the connection immediately and ends its calls. `reason` is a human-readable text.
  void Close(const std::string& reason);
  /// Closes the connection once all output is sent.
  void CloseWhenFlushed();
  /// Whether the connection has ended.
  bool is_closed() const { return is_closed_; }

  /// Called after each completed write.
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
  boost::asio::steady_timer closed_event_;  // never expires; cancelled when the connection is closed
  Clock::time_point last_received_at_;
  Clock::time_point last_active_at_;    // last time with a call in progress
  Clock::time_point last_progress_at_;  // last time a write completed or no output was unsent
  std::optional<Clock::time_point> pinged_at_;
  net::ReadTimeoutGrace ping_grace_;
  std::string output_;  // output being written
  bool is_open_ = false;
  bool is_closed_ = false;
  bool is_feeding_ = false;
  bool is_writing_ = false;
  bool closes_when_flushed_ = false;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_SERVER_CONNECTION_H_
