// SPDX-License-Identifier: Apache-2.0
#include "etcd/server_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace badgerbridge::etcd {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kReadBufferBytes = 16384;
constexpr milliseconds kMaxMonitorInterval{5000};
constexpr milliseconds kMinMonitorInterval{5};

bool HasElapsed(milliseconds timeout, std::chrono::steady_clock::time_point since,
                std::chrono::steady_clock::time_point now) {
  return timeout > milliseconds(0) && now - since >= timeout;
}

}  // namespace

ServerConnection::ServerConnection(asio::io_context& io, tcp::socket socket, const ServerOptions& options,
                                   asio::ssl::context* tls)
    : io_(io),
      options_(options),
      transport_(std::move(socket), tls),
      handshake_timer_(io),
      monitor_timer_(io),
      closed_event_(io, Clock::time_point::max()),
      last_received_at_(Clock::now()),
      last_active_at_(last_received_at_),
      last_progress_at_(last_received_at_) {
  transport_.DisableNagle();
}

void ServerConnection::SetHandler(Http2ServerHandler handler) {
  http2_ = std::make_unique<Http2Server>(options_.limits, std::move(handler));
}

asio::awaitable<bool> ServerConnection::Handshake() {
  if (!transport_.tls()) co_return true;
  ErrorCode error;
  handshake_timer_.ArmAfter(options_.handshake_timeout, [this] {
    CloseWith({ConnectionErrorCode::kHandshakeTimeout, ""});
  });
  co_await transport_.tls()->async_handshake(asio::ssl::stream_base::server,
                                             asio::redirect_error(asio::use_awaitable, error));
  handshake_timer_.Disarm();
  if (error) CloseWith({ConnectionErrorCode::kHandshakeFailed, error.message()});
  co_return !is_closed_;
}

asio::awaitable<void> ServerConnection::Run() {
  const auto self = shared_from_this();
  if (!co_await Handshake()) co_return;
  is_open_ = true;
  last_received_at_ = Clock::now();
  last_active_at_ = last_received_at_;
  last_progress_at_ = last_received_at_;
  asio::co_spawn(io_, MonitorTimeouts(), [self](std::exception_ptr) {});
  Flush();
  co_await Read();
}

asio::awaitable<void> ServerConnection::Read() {
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  std::array<char, kReadBufferBytes> buffer;
  while (!is_closed_) {
    if (IsFrozen()) {
      co_await closed_event_.async_wait(token);
      continue;
    }
    const std::size_t size = co_await transport_.AsyncReadSome(asio::buffer(buffer), token);
    if (is_closed_) co_return;
    if (error) {
      CloseWith({ConnectionErrorCode::kTransportFailed, error.message()});
      co_return;
    }
    if (IsFrozen()) continue;
    last_received_at_ = Clock::now();
    is_feeding_ = true;
    const ConnectionResult fed = http2_->Feed({buffer.data(), size});
    is_feeding_ = false;
    Flush();
    if (!fed) CloseWith(fed.error());
  }
}

milliseconds ServerConnection::MonitorInterval() const {
  milliseconds interval = kMaxMonitorInterval;
  for (const milliseconds timeout :
       {options_.ping_interval, options_.ping_timeout, options_.idle_timeout, options_.stall_timeout}) {
    if (timeout > milliseconds(0)) interval = std::clamp(timeout / 4, kMinMonitorInterval, interval);
  }
  return interval;
}

// A check that runs late is skipped: this process was delayed, and data received meanwhile must be processed
// before the next check.
asio::awaitable<void> ServerConnection::MonitorTimeouts() {
  const auto self = shared_from_this();
  const milliseconds interval = MonitorInterval();
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (!is_closed_) {
    monitor_timer_.expires_after(interval);
    co_await monitor_timer_.async_wait(token);
    if (is_closed_) co_return;
    const auto now = Clock::now();
    if (now - monitor_timer_.expiry() < interval) CheckTimeouts(now);
  }
}

void ServerConnection::CheckTimeouts(Clock::time_point now) {
  if (http2_->open_calls() > 0) last_active_at_ = now;
  if (http2_->unsent_bytes() == 0 && !is_writing_) last_progress_at_ = now;
  if (pinged_at_ && last_received_at_ >= *pinged_at_) pinged_at_.reset();
  const bool ping_timed_out = pinged_at_ && HasElapsed(options_.ping_timeout, *pinged_at_, now);
  if (ping_timed_out && !ping_grace_.ShouldPostpone(transport_.socket())) {
    CloseWith({ConnectionErrorCode::kClientUnresponsive, ""});
  } else if (HasElapsed(options_.stall_timeout, last_progress_at_, now)) {
    CloseWith({ConnectionErrorCode::kClientNotReading, ""});
  } else if (HasElapsed(options_.idle_timeout, last_active_at_, now)) {
    http2_->GoAway();
    CloseWhenFlushed();
  } else if (!pinged_at_ && HasElapsed(options_.ping_interval, last_received_at_, now)) {
    pinged_at_ = now;
    http2_->Ping();
    Flush();
  }
}

void ServerConnection::Flush() {
  if (!is_open_ || is_closed_ || is_feeding_ || is_writing_) return;
  if (IsFrozen()) return;
  is_writing_ = true;  // handlers run within TakeOutput and may call Flush
  std::string bytes = http2_->TakeOutput();
  is_writing_ = false;
  if (is_closed_) return;
  const auto& filter = options_.faults.filter_output;
  const bool is_last = filter && !filter(*this, &bytes);
  if (!bytes.empty()) {
    Write(std::move(bytes), is_last);
  } else if (is_last || closes_when_flushed_ || http2_->IsDone()) {
    Close("all output was sent");
  }
}

void ServerConnection::Write(std::string bytes, bool is_last) {
  output_ = std::move(bytes);
  is_writing_ = true;
  transport_.AsyncWrite(asio::buffer(output_),
                        [self = shared_from_this(), is_last](const ErrorCode& error, std::size_t) {
                          self->OnWritten(error, is_last);
                        });
}

void ServerConnection::OnWritten(const ErrorCode& error, bool is_last) {
  is_writing_ = false;
  if (is_closed_) return;
  if (error) return CloseWith({ConnectionErrorCode::kTransportFailed, error.message()});
  if (is_last) return Close("closed by an injected fault");
  last_progress_at_ = Clock::now();
  if (on_progress) on_progress();
  Flush();
}

void ServerConnection::CloseWhenFlushed() {
  closes_when_flushed_ = true;
  Flush();
}

void ServerConnection::Close(const std::string& reason) { CloseWith({ConnectionErrorCode::kClosed, reason}); }

void ServerConnection::CloseWith(const ConnectionError& error) {
  if (std::exchange(is_closed_, true)) return;
  const auto self = shared_from_this();
  transport_.Close();
  handshake_timer_.Disarm();
  monitor_timer_.cancel();
  closed_event_.cancel();
  http2_->ConnectionLost(error);
  if (on_disconnected) on_disconnected(error);
}

}  // namespace badgerbridge::etcd
