// SPDX-License-Identifier: Apache-2.0
#include "etcd/channel.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "http_api/tls_context.h"

namespace badgerbridge::etcd {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kReadBufferBytes = 16384;

std::optional<asio::ssl::context> MakeTlsContext(const ChannelOptions& options) {
  if (!options.tls) return std::nullopt;
  return http_api::MakeTlsContext(*options.tls, http_api::TlsSide::kClient);
}

std::string Authority(const ChannelOptions& options, const tcp::endpoint& address) {
  if (!options.server_name.empty()) return options.server_name;
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace

Channel::Channel(asio::io_context& io, tcp::endpoint address, ChannelOptions options, OnOpen on_open,
                 OnClosed on_closed)
    : io_(io),
      address_(address),
      options_(std::move(options)),
      on_open_(std::move(on_open)),
      on_closed_(std::move(on_closed)),
      tls_context_(MakeTlsContext(options_)),
      transport_(tcp::socket(io), tls_context_ ? &*tls_context_ : nullptr),
      connect_timer_(io),
      liveness_timer_(io),
      http2_(Authority(options_, address_), options_.limits, options_.tls ? Scheme::kHttps : Scheme::kHttp) {
  Transport::TlsStream* tls = transport_.tls();
  if (!tls) return;
  tls->set_verify_callback(asio::ssl::host_name_verification(
      options_.server_name.empty() ? address_.address().to_string() : options_.server_name));
  SSL_set_alpn_protos(tls->native_handle(), kAlpnHttp2, sizeof kAlpnHttp2);
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
  connect_timer_.ArmAfter(options_.connect_timeout, [this] {
    CloseWith({ConnectionErrorCode::kConnectTimeout, ""});
  });
  const ErrorCode error = co_await Connect();
  if (is_closed_) co_return;
  if (error) {
    CloseWith({ConnectionErrorCode::kConnectFailed, error.message()});
    co_return;
  }
  is_open_ = true;
  last_received_at_ = Clock::now();
  connect_timer_.Disarm();
  asio::co_spawn(io_, MonitorLiveness(), [self](std::exception_ptr) {});
  if (on_open_) on_open_();
  Flush();
  co_await Read();
}

asio::awaitable<ErrorCode> Channel::Connect() {
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  co_await transport_.socket().async_connect(address_, token);
  if (error) co_return error;
  transport_.DisableNagle();
  if (transport_.tls()) co_await transport_.tls()->async_handshake(asio::ssl::stream_base::client, token);
  co_return error;
}

asio::awaitable<void> Channel::Read() {
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  std::array<char, kReadBufferBytes> buffer;
  while (!is_closed_) {
    const std::size_t size = co_await transport_.AsyncReadSome(asio::buffer(buffer), token);
    if (is_closed_) co_return;
    if (error) {
      CloseWith({ConnectionErrorCode::kTransportFailed, error.message()});
      co_return;
    }
    last_received_at_ = Clock::now();
    const ConnectionResult fed = http2_.Feed({buffer.data(), size});
    Flush();  // also after an error, so that nghttp2's GOAWAY is sent
    if (!fed) {
      CloseWith(fed.error());
      co_return;
    }
  }
}

// Called when a PING has timed out: whether received bytes are still unread, for example because this process
// was not scheduled for a while.
asio::awaitable<bool> Channel::ReceivesUnreadBytes() {
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const auto last_received_at = last_received_at_;
  net::ReadTimeoutGrace grace;
  do {
    liveness_timer_.expires_after(net::ReadTimeoutGrace::kRecheckInterval);
    co_await liveness_timer_.async_wait(token);
  } while (last_received_at_ == last_received_at && ShouldPostpone(&grace));
  co_return last_received_at_ != last_received_at;
}

// Sends a PING after ping_interval without received bytes, and closes the connection if nothing is received
// within ping_timeout of the PING. The timeout starts when the PING is sent, so that a delay in this process
// does not count against the server.
asio::awaitable<void> Channel::MonitorLiveness() {
  const auto self = shared_from_this();
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  std::optional<Clock::time_point> pinged_at;
  while (!is_closed_) {
    const auto deadline =
        pinged_at ? *pinged_at + options_.ping_timeout : last_received_at_ + options_.ping_interval;
    if (Clock::now() < deadline) {
      const auto last_received_at = last_received_at_;
      liveness_timer_.expires_at(deadline);
      co_await liveness_timer_.async_wait(token);
      if (last_received_at_ != last_received_at) pinged_at.reset();
      continue;
    }
    if (!pinged_at) {
      pinged_at = Clock::now();
      http2_.Ping();
      Flush();
      continue;
    }
    if (!co_await ReceivesUnreadBytes()) {
      CloseWith({ConnectionErrorCode::kServerUnresponsive, ""});
      co_return;
    }
    pinged_at.reset();
  }
}

void Channel::Flush() {
  if (!is_open_ || is_closed_ || is_writing_) return;
  is_writing_ = true;
  asio::co_spawn(io_, Write(), [self = shared_from_this()](std::exception_ptr) {});
}

asio::awaitable<void> Channel::Write() {
  const auto self = shared_from_this();
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (!is_closed_) {
    const std::string output = http2_.TakeOutput();
    if (output.empty()) break;
    co_await transport_.AsyncWrite(asio::buffer(output), token);
    if (error && !is_closed_) CloseWith({ConnectionErrorCode::kTransportFailed, error.message()});
  }
  is_writing_ = false;
}

std::optional<CallId> Channel::BeginCall(const std::string& path, const HeaderFields& metadata,
                                         std::string_view message, bool end_stream, CallHandler handler) {
  if (is_closed_) return std::nullopt;
  const auto call = http2_.BeginCall(path, metadata, message, end_stream, std::move(handler));
  Flush();
  return call;
}

bool Channel::SendMessage(CallId call, std::string_view message, bool end_stream) {
  const bool is_sent = http2_.SendMessage(call, message, end_stream);
  Flush();
  return is_sent;
}

void Channel::CancelCall(CallId call, Ending ending) {
  http2_.CancelCall(call, ending);
  Flush();
}

void Channel::CallUnary(const std::string& path, const HeaderFields& metadata, std::string_view message,
                        std::chrono::milliseconds timeout, OnUnaryCompleted on_completed) {
  const auto response = std::make_shared<std::string>();
  const auto timer = std::make_shared<net::OneShotTimer>(io_);
  CallHandler handler;
  handler.on_message = [response](std::string_view received) { *response = received; };
  handler.on_end = [response, timer, on_completed](const Status& status) {
    timer->Disarm();
    on_completed(status, std::move(*response));
  };
  const auto call = BeginCall(path, metadata, message, true, std::move(handler));
  if (!call) {
    on_completed({Code::kUnavailable, Ending::kRefused, "the connection takes no more calls"}, "");
    return;
  }
  ArmCallTimer(timer, timeout, *call);
}

// The call's handler owns the timer and releases it when the call ends.
void Channel::ArmCallTimer(const std::shared_ptr<net::OneShotTimer>& timer, std::chrono::milliseconds timeout,
                           CallId call, net::ReadTimeoutGrace grace) {
  const auto on_timeout = [weak_channel = weak_from_this(), weak_timer = std::weak_ptr(timer), call,
                           grace]() mutable {
    const auto self = weak_channel.lock();
    const auto own_timer = weak_timer.lock();
    if (!self || !own_timer) return;
    if (self->ShouldPostpone(&grace))
      return self->ArmCallTimer(own_timer, net::ReadTimeoutGrace::kRecheckInterval, call, grace);
    self->CancelCall(call, Ending::kTimeout);
  };
  timer->ArmAfter(timeout, on_timeout);
}

void Channel::Close(const std::string& reason) { CloseWith({ConnectionErrorCode::kClosed, reason}); }

void Channel::CloseWith(const ConnectionError& error) {
  if (is_closed_) return;
  is_closed_ = true;
  const auto self = shared_from_this();
  transport_.Close();
  connect_timer_.Disarm();
  liveness_timer_.cancel();
  http2_.ConnectionLost(error);
  const OnClosed on_closed = std::exchange(on_closed_, nullptr);
  on_open_ = nullptr;
  if (on_closed) asio::post(io_, [on_closed, error] { on_closed(error); });
}

}  // namespace badgerbridge::etcd
