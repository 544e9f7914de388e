// SPDX-License-Identifier: Apache-2.0

/// \file
/// One connection to an etcd endpoint and the gRPC calls on it: Http2Client over a TCP socket, in cleartext
/// or with TLS. A channel does not reconnect; open another one instead.
#ifndef BADGERBRIDGE_ETCD_CHANNEL_H_
#define BADGERBRIDGE_ETCD_CHANNEL_H_

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
#include <string_view>

#include "etcd/error.h"
#include "etcd/http2_client.h"
#include "etcd/transport.h"
#include "http_api/tls.h"
#include "net/one_shot_timer.h"
#include "net/read_timeout_grace.h"

namespace badgerbridge::etcd {

/// Configuration of a channel.
struct ChannelOptions {
  std::chrono::milliseconds connect_timeout{500};  ///< Including the TLS handshake.
  /// A PING is sent after this time without received bytes. A dead connection is detected after at most
  /// ping_interval + ping_timeout.
  std::chrono::milliseconds ping_interval{150};
  std::chrono::milliseconds ping_timeout{
      100};  ///< The connection is closed if a PING is not answered in this time.
  std::optional<http_api::TlsFiles> tls;  ///< Cleartext if empty.
  std::string server_name;  ///< Expected in the server's certificate (RFC 9525); if empty, the address.
  Http2Limits limits;       ///< Limits of the connection.
};

/// One connection. May be used only on the io_context's thread.
class Channel : public std::enable_shared_from_this<Channel> {
 public:
  /// Called once, when the connection is ready for calls.
  using OnOpen = std::function<void()>;
  /// Called exactly once, after all calls have ended.
  using OnClosed = std::function<void(const ConnectionError& error)>;
  /// Receives the status of a call and, if the status is ok, the response message.
  using OnUnaryCompleted = std::function<void(Status, std::string)>;

  /// Starts to connect. Throws std::runtime_error if the TLS files cannot be used. Never calls `on_open` or
  /// `on_closed` before it returns. `io` must outlive the channel; the channel lives at least until it is
  /// closed.
  static std::shared_ptr<Channel> Open(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                                       ChannelOptions options, OnOpen on_open, OnClosed on_closed);
  ~Channel();

  /// See Http2Client::BeginCall. Also returns nullopt if the channel is closed.
  std::optional<CallId> BeginCall(const std::string& path, const HeaderFields& metadata,
                                  std::string_view message, bool end_stream, CallHandler handler);
  /// See Http2Client::SendMessage.
  bool SendMessage(CallId call, std::string_view message, bool end_stream);
  /// See Http2Client::CancelCall.
  void CancelCall(CallId call, Ending ending = Ending::kCancelled);
  /// A call with one request message and one response message. `on_completed` is called exactly once, after
  /// `timeout` at the latest (with Ending::kTimeout), or slightly later if received bytes are still unread.
  /// It is called before CallUnary returns only if the channel accepts no more calls.
  void CallUnary(const std::string& path, const HeaderFields& metadata, std::string_view message,
                 std::chrono::milliseconds timeout, OnUnaryCompleted on_completed);
  /// Closes the connection. `reason` is a human-readable text.
  void Close(const std::string& reason);

  bool is_open() const { return is_open_ && !is_closed_; }        ///< Connected and not closed.
  bool going_away() const { return http2_.going_away(); }         ///< The server accepts no more calls.
  std::size_t open_calls() const { return http2_.open_calls(); }  ///< Calls that have not ended.
  /// Whether to postpone a timeout for data expected on this channel; see
  /// net::ReadTimeoutGrace::ShouldPostpone.
  bool ShouldPostpone(net::ReadTimeoutGrace* grace) const {
    return grace->ShouldPostpone(transport_.socket());
  }

 private:
  Channel(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, ChannelOptions options,
          OnOpen on_open, OnClosed on_closed);
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<boost::system::error_code> Connect();
  boost::asio::awaitable<void> Read();
  boost::asio::awaitable<void> Write();
  boost::asio::awaitable<void> MonitorLiveness();
  boost::asio::awaitable<bool> ReceivesUnreadBytes();
  void ArmCallTimer(const std::shared_ptr<net::OneShotTimer>& timer, std::chrono::milliseconds timeout,
                    CallId call, net::ReadTimeoutGrace grace = {});
  void Flush();
  void CloseWith(const ConnectionError& error);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  ChannelOptions options_;
  OnOpen on_open_;
  OnClosed on_closed_;
  std::optional<boost::asio::ssl::context> tls_context_;
  Transport transport_;
  net::OneShotTimer connect_timer_;
  boost::asio::steady_timer liveness_timer_;
  Http2Client http2_;
  std::chrono::steady_clock::time_point last_received_at_{};
  bool is_open_ = false;
  bool is_closed_ = false;
  bool is_writing_ = false;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_CHANNEL_H_
