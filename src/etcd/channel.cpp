// SPDX-License-Identifier: Apache-2.0
#include "etcd/channel.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http_api/tls_context.h"

namespace badgerbridge::etcd {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Clock = std::chrono::steady_clock;

Channel::Channel(asio::io_context& io, tcp::endpoint address, ChannelOptions options, OnOpen on_open,
                 OnClosed on_closed)
    : io_(io),
      address_(address),
      options_(std::move(options)),
      on_open_(std::move(on_open)),
      on_closed_(std::move(on_closed)),
      plain_(io),
      connect_timer_(io),
      pause_(io),
      http2_(options_.server_name.empty()
                 ? address.address().to_string() + ":" + std::to_string(address.port())
                 : options_.server_name,
             options_.limits, options_.tls.has_value()) {
  if (!options_.tls) return;
  context_.emplace(http_api::MakeTlsContext(*options_.tls, http_api::TlsSide::kClient));
  tls_.emplace(io, *context_);
  tls_->set_verify_callback(asio::ssl::host_name_verification(
      options_.server_name.empty() ? address.address().to_string() : options_.server_name));
  constexpr unsigned char kH2[] = {2, 'h', '2'};
  SSL_set_alpn_protos(tls_->native_handle(), kH2, sizeof kH2);
}

Channel::~Channel() = default;

std::shared_ptr<Channel> Channel::Open(asio::io_context& io, tcp::endpoint address, ChannelOptions options,
                                       OnOpen on_open, OnClosed on_closed) {
  std::shared_ptr<Channel> channel(
      new Channel(io, address, std::move(options), std::move(on_open), std::move(on_closed)));
  asio::co_spawn(io, channel->Run(), [channel](std::exception_ptr) {});
  return channel;
}

asio::awaitable<void> Channel::Run() {
  const auto self = shared_from_this();
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  connect_timer_.ArmAfter(options_.connect_timeout,
                          [this] { Close("no connection within the time for it"); });
  auto& socket = tls_ ? tls_->next_layer() : plain_;
  co_await socket.async_connect(address_, token);
  if (!error) {
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (tls_) co_await tls_->async_handshake(asio::ssl::stream_base::client, token);
  }
  if (closed_) co_return;
  if (error) {
    Close("cannot connect: " + error.message());
    co_return;
  }
  open_ = true;
  heard_ = Clock::now();
  connect_timer_.Disarm();
  asio::co_spawn(io_, Watch(), [self](std::exception_ptr) {});
  if (on_open_) on_open_();
  Flush();
  std::array<char, 16384> piece;
  while (!closed_) {
    std::size_t n = 0;
    if (tls_) {
      n = co_await tls_->async_read_some(asio::buffer(piece), token);
    } else {
      n = co_await plain_.async_read_some(asio::buffer(piece), token);
    }
    if (closed_) co_return;
    if (error) {
      Close("the connection ended: " + error.message());
      co_return;
    }
    heard_ = Clock::now();
    const bool good = http2_.Feed({piece.data(), n});
    Flush();  // also what says goodbye
    if (!good) {
      Close(http2_.error());
      co_return;
    }
  }
}

// What has arrived is read first, in case this process was held up: true if there was something.
asio::awaitable<bool> Channel::HeardAfterAll() {
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const auto heard = heard_;
  net::ReadGrace grace;
  do {
    pause_.expires_after(net::ReadGrace::kPause);
    co_await pause_.async_wait(token);
  } while (heard_ == heard && Postpones(&grace));
  co_return heard_ != heard;
}

// Pings when nothing has come for a while; no answer ends the connection. The time for an answer begins with
// the ping: where this process itself was held up, the other side is still asked before it is given up.
asio::awaitable<void> Channel::Watch() {
  const auto self = shared_from_this();
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  std::optional<Clock::time_point> pinged_at;
  while (!closed_) {
    const auto due = pinged_at ? *pinged_at + options_.ping_timeout : heard_ + options_.ping_every;
    if (Clock::now() >= due) {
      if (pinged_at) {
        if (co_await HeardAfterAll()) {
          pinged_at.reset();
          continue;
        }
        Close("the link is silent: no answer to a ping");
        co_return;
      }
      pinged_at = Clock::now();
      http2_.Ping();
      Flush();
      continue;
    }
    const auto heard = heard_;
    pause_.expires_at(due);
    co_await pause_.async_wait(token);
    if (heard_ != heard) pinged_at.reset();
  }
}

void Channel::Flush() {
  if (!open_ || closed_ || writing_) return;
  writing_ = true;
  asio::co_spawn(io_, Write(), [self = shared_from_this()](std::exception_ptr) {});
}

asio::awaitable<void> Channel::Write() {
  const auto self = shared_from_this();
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (!closed_) {
    const std::string out = http2_.TakeOutput();
    if (out.empty()) break;
    if (tls_) {
      co_await asio::async_write(*tls_, asio::buffer(out), token);
    } else {
      co_await asio::async_write(plain_, asio::buffer(out), token);
    }
    if (error && !closed_) Close("the connection ended: " + error.message());
  }
  writing_ = false;
}

CallId Channel::Begin(const std::string& path,
                      const std::vector<std::pair<std::string, std::string>>& metadata,
                      std::string_view message, bool last, CallHandler handler) {
  if (closed_) return -1;
  const CallId id = http2_.Begin(path, metadata, message, last, std::move(handler));
  Flush();
  return id;
}

bool Channel::Send(CallId call, std::string_view message, bool last) {
  const bool sent = http2_.Send(call, message, last);
  Flush();
  return sent;
}

void Channel::Cancel(CallId call, Ending ending) {
  http2_.Cancel(call, ending);
  Flush();
}

void Channel::Unary(const std::string& path, const std::vector<std::pair<std::string, std::string>>& metadata,
                    std::string_view message, std::chrono::milliseconds timeout,
                    std::function<void(Status, std::string)> done) {
  const auto answer = std::make_shared<std::string>();
  const auto timer = std::make_shared<net::OneShotTimer>(io_);
  CallHandler handler;
  handler.on_message = [answer](std::string_view text) { *answer = text; };
  handler.on_end = [answer, timer, done](const Status& status) {
    timer->Disarm();
    done(status, std::move(*answer));
  };
  const CallId id = Begin(path, metadata, message, true, std::move(handler));
  if (id < 0) {
    done({Code::kUnavailable, Ending::kRefused, "the connection takes no more calls"}, "");
    return;
  }
  AwaitAnswer(timer, timeout, id);
}

// The timer is the call's, and ends with it.
void Channel::AwaitAnswer(const std::shared_ptr<net::OneShotTimer>& timer, std::chrono::milliseconds timeout,
                          CallId call, net::ReadGrace grace) {
  timer->ArmAfter(
      timeout, [weak_channel = weak_from_this(), weak_timer = std::weak_ptr(timer), call, grace]() mutable {
        const auto self = weak_channel.lock();
        const auto own_timer = weak_timer.lock();
        if (!self || !own_timer) return;
        if (self->Postpones(&grace)) return self->AwaitAnswer(own_timer, net::ReadGrace::kPause, call, grace);
        self->Cancel(call, Ending::kTimeout);
      });
}

void Channel::Close(const std::string& why) {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  ErrorCode ignored;
  (tls_ ? tls_->next_layer() : plain_).close(ignored);
  connect_timer_.Disarm();
  pause_.cancel();
  http2_.Lost(why);
  const OnClosed on_closed = std::exchange(on_closed_, nullptr);
  on_open_ = nullptr;
  if (on_closed) asio::post(io_, [on_closed, why] { on_closed(why); });
}

}  // namespace badgerbridge::etcd
