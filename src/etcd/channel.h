// SPDX-License-Identifier: Apache-2.0
//
// One connection to one etcd endpoint, with the calls on it: Http2Client on a socket of the caller's
// io_context, in cleartext or with TLS. It is used until it ends, and never made again; whoever wants another
// opens one.
#ifndef BADGERBRIDGE_ETCD_CHANNEL_H_
#define BADGERBRIDGE_ETCD_CHANNEL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "etcd/http2.h"
#include "http_api/tls.h"
#include "net/one_shot_timer.h"
#include "net/read_grace.h"

namespace badgerbridge::etcd {

struct ChannelOptions {
  std::chrono::milliseconds connect_timeout{500};  // with the TLS handshake
  // A link on which nothing came for ping_every is asked; one that does not answer within ping_timeout is
  // silent, and ended. Together they bound how long a silent link can go unnoticed.
  std::chrono::milliseconds ping_every{150}, ping_timeout{100};
  std::optional<http_api::TlsFiles> tls;
  std::string server_name;  // that the certificate must be for; empty: the address
  Http2Limits limits;
};

class Channel : public std::enable_shared_from_this<Channel> {
 public:
  using OnOpen = std::function<void()>;
  using OnClosed = std::function<void(const std::string& why)>;  // exactly once, after every call has ended

  // Throws std::runtime_error for TLS files that can't be used. Neither function is called from within this
  // one.
  static std::shared_ptr<Channel> Open(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                                       ChannelOptions options, OnOpen on_open, OnClosed on_closed);
  ~Channel();

  CallId Begin(const std::string& path, const std::vector<std::pair<std::string, std::string>>& metadata,
               std::string_view message, bool last, CallHandler handler);
  bool Send(CallId call, std::string_view message, bool last);
  void Cancel(CallId call, Ending ending = Ending::kCancelled);
  // One message there, one back. `done` is called exactly once; never from within, unless the call can't be
  // begun.
  void Unary(const std::string& path, const std::vector<std::pair<std::string, std::string>>& metadata,
             std::string_view message, std::chrono::milliseconds timeout,
             std::function<void(Status, std::string)> done);
  void Close(const std::string& why);

  bool is_open() const { return open_ && !closed_; }
  bool going_away() const { return http2_.going_away(); }
  std::size_t calls() const { return http2_.open(); }
  // For a time-out of what is awaited on this channel; see net::ReadGrace.
  bool Postpones(net::ReadGrace* grace) const { return grace->Postpones(socket()); }

 private:
  Channel(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, ChannelOptions options,
          OnOpen on_open, OnClosed on_closed);
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Write();
  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<bool> HeardAfterAll();
  void AwaitAnswer(const std::shared_ptr<net::OneShotTimer>& timer, std::chrono::milliseconds timeout,
                   CallId call, net::ReadGrace grace = {});
  void Flush();
  const boost::asio::ip::tcp::socket& socket() const { return tls_ ? tls_->next_layer() : plain_; }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  ChannelOptions options_;
  OnOpen on_open_;
  OnClosed on_closed_;
  std::optional<boost::asio::ssl::context> context_;
  std::optional<boost::asio::ssl::stream<boost::asio::ip::tcp::socket>> tls_;
  boost::asio::ip::tcp::socket plain_;
  net::OneShotTimer connect_timer_;
  boost::asio::steady_timer pause_;  // of Watch
  Http2Client http2_;
  std::chrono::steady_clock::time_point heard_{};
  bool open_ = false, closed_ = false, writing_ = false;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_CHANNEL_H_
