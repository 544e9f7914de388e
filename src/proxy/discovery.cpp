// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>

#include "net/socket_state.h"
#include "proxy/endpoint_list_codec.h"

namespace badgerbridge::proxy {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace {

constexpr std::size_t kMaxListBytes = 4 << 20;  // far larger than the list of any deployment
constexpr std::size_t kMaxReadBytes = 16384;    // per read
constexpr unsigned kHttpVersion = 11;           // HTTP/1.1 in Beast's notation
constexpr unsigned kStatusOk = 200;
constexpr std::string_view kResponse = "response";
constexpr std::string_view kMessage = "message of the watch";

void LogFailure(std::string_view reason) { std::cerr << "discovery: " << reason << '\n'; }

// Closes a stream at a deadline. If bytes have arrived by then but are unread because this process was
// descheduled, lets the stream read them first.
class ReadDeadline {
 public:
  ReadDeadline(asio::io_context& io, beast::tcp_stream& stream) : stream_(stream), timer_(io) {}

  // `awaited` names what must come in time; it must outlive this object.
  void SetAfter(std::chrono::milliseconds wait, std::string_view awaited) {
    wait_ = wait;
    awaited_ = awaited;
    timer_.ArmAfter(wait, [this] { Expire(); });
  }

 private:
  void Expire() {
    if (read_grace_.ShouldPostpone(stream_.socket()))
      return timer_.ArmAfter(net::ReadTimeoutGrace::kRecheckInterval, [this] { Expire(); });
    stream_.close();
    std::cerr << "discovery: no " << awaited_ << " for " << wait_.count() << " ms; closed the connection\n";
  }

  beast::tcp_stream& stream_;
  net::OneShotTimer timer_;
  net::ReadTimeoutGrace read_grace_;
  std::chrono::milliseconds wait_{0};
  std::string_view awaited_;
};

}  // namespace

// One connection to discovery, with the parser of its response.
struct Discovery::Connection {
  Connection(asio::io_context& io, std::shared_ptr<beast::tcp_stream> opened)
      : stream(std::move(opened)), deadline(io, *stream) {
    parser.body_limit(boost::none);  // the response is endless; JsonStream limits what is buffered
  }

  std::shared_ptr<beast::tcp_stream> stream;
  ReadDeadline deadline;
  beast::flat_buffer buffer{2 * kMaxReadBytes};
  http::response_parser<http::buffer_body> parser;
  JsonStream messages{kMaxListBytes};
  bool is_answered = false;  // a list has come, or a heartbeat in place of one
};

Discovery::Discovery(asio::io_context& io, asio::ip::tcp::endpoint address, EndpointListReader reader,
                     bool polls, std::uint64_t seed, OnList on_list, std::function<void()> on_failed,
                     Timing timing)
    : io_(io),
      address_(std::move(address)),
      reader_(std::move(reader)),
      polls_(polls),
      random_(seed),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      timing_(timing),
      backoff_(timing.min_backoff),
      address_change_timer_(io),
      watchdog_(io) {}

Discovery::Timing Discovery::Timing::For(bool polls) {
  Timing timing;
  if (polls) {
    timing.connect_timeout = std::chrono::milliseconds(1000);   // enough to retransmit a lost SYN
    timing.response_timeout = std::chrono::milliseconds(2200);  // discovery rejects calls queued for 2 s
    timing.message_timeout = std::chrono::milliseconds(2400);   // then the decision module polls again
  }
  return timing;
}

void Discovery::Watch() {
  if (!(polls_ && is_open_)) Start();
}

// Whether bytes of the open watch have arrived that its read handler has not processed.
bool Discovery::AwaitsRead() { return stream_ && read_grace_.ShouldPostpone(stream_->socket()); }

bool Discovery::HasUnread() const { return stream_ && net::UnreadBytes(stream_->socket()) > 0; }

void Discovery::Start() {
  // Closes the stream instead of cancelling its operations: one that has just completed must not let the old
  // watch start another.
  if (stream_) stream_->close();
  ArmWatchdog();
  try {
    asio::co_spawn(io_, Run(++generation_), asio::detached);
  } catch (const std::exception& error) {
    LogFailure(error.what());  // the watchdog retries
  }
}

// Restarts a watch whose coroutine has ended silently, which happens when memory for one of its steps runs
// out. The timer is longer than any wait of the coroutine and is rearmed at each attempt and each message.
void Discovery::ArmWatchdog() {
  const auto longest_wait =
      timing_.connect_timeout + timing_.response_timeout + timing_.message_timeout + timing_.max_backoff;
  watchdog_.ArmAfter(longest_wait, [this] { OnWatchdog(); });
}

void Discovery::OnWatchdog() {
  if (AwaitsRead())
    return watchdog_.ArmAfter(net::ReadTimeoutGrace::kRecheckInterval, [this] { OnWatchdog(); });
  if (!polls_) return Start();
  ++generation_;
  if (stream_) stream_->close();
  is_open_ = false;
  on_failed_();
}

void Discovery::ChangeAddress(asio::ip::tcp::endpoint address) {
  if (AwaitsRead())
    return address_change_timer_.ArmAfter(net::ReadTimeoutGrace::kRecheckInterval,
                                          [this, address] { ChangeAddress(address); });
  address_change_timer_.Disarm();
  address_ = std::move(address);
  reader_.ResetVersion();
  backoff_ = timing_.min_backoff;
  Start();
}

asio::awaitable<void> Discovery::Run(std::uint64_t generation) {
  while (generation == generation_) {
    ArmWatchdog();
    is_open_ = true;
    try {
      co_await WatchOnce(generation);
    } catch (const std::exception& error) {
      LogFailure(error.what());
    }
    if (generation != generation_) co_return;
    is_open_ = false;
    stream_.reset();
    if (polls_) {
      watchdog_.Disarm();
      on_failed_();
      co_return;
    }
    asio::steady_timer timer(io_, NextBackoff());
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Adds jitter to the upper half of the backoff, so that proxies that lost discovery at the same time
// reconnect at different times.
std::chrono::milliseconds Discovery::NextBackoff() {
  const auto half = backoff_.count() / 2;
  const auto wait = half + static_cast<long>(random_() % static_cast<std::uint64_t>(half + 1));
  backoff_ = std::min(timing_.max_backoff, backoff_ * 2);
  return std::chrono::milliseconds(wait);
}

asio::awaitable<void> Discovery::WatchOnce(std::uint64_t generation) {
  stream_ = std::make_shared<beast::tcp_stream>(io_);
  Connection connection(io_, stream_);
  const bool is_open = co_await Open(connection, generation);
  if (is_open) co_await ReadMessages(connection, generation);
}

// Sends the request and reads the header of the response. Returns false on failure.
asio::awaitable<bool> Discovery::Open(Connection& connection, std::uint64_t generation) {
  beast::tcp_stream& stream = *connection.stream;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  stream.expires_after(timing_.connect_timeout);
  co_await stream.async_connect(address_, token);
  if (error) co_return false;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);

  http::request<http::empty_body> request(http::verb::get, EndpointListTarget(reader_.version()),
                                          kHttpVersion);
  request.set(http::field::host, "discovery");
  stream.expires_never();
  connection.deadline.SetAfter(timing_.response_timeout, kResponse);
  co_await http::async_write(stream, request, token);
  if (error) co_return false;
  co_await http::async_read_header(stream, connection.buffer, connection.parser, token);
  if (error) co_return false;
  const unsigned status = connection.parser.get().result_int();
  if (status != kStatusOk) {
    std::cerr << "discovery: the call was answered with status " << status << '\n';
    co_return false;
  }
  co_return generation == generation_;
}

// Only complete messages extend the deadline: an unreachable discovery sends nothing, and one that hangs may
// send part of a message.
asio::awaitable<void> Discovery::ReadMessages(Connection& connection, std::uint64_t generation) {
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  connection.deadline.SetAfter(timing_.message_timeout, kMessage);
  std::array<char, kMaxReadBytes> piece;
  auto& body = connection.parser.get().body();
  while (!connection.parser.is_done()) {
    body.data = piece.data();
    body.size = piece.size();
    co_await http::async_read_some(*connection.stream, connection.buffer, connection.parser, token);
    if (error == http::error::need_buffer) error = {};
    if (generation != generation_) co_return;
    const EndpointListResult<bool> has_message =
        HandleBytes(connection, {piece.data(), piece.size() - body.size}, generation);
    if (!has_message) {
      LogFailure("not a list: " + Message(has_message.error()));
      co_return;
    }
    if (error || generation != generation_) co_return;
    if (!*has_message) continue;
    ArmWatchdog();
    connection.deadline.SetAfter(timing_.message_timeout, kMessage);
  }
}

// Handles bytes of the watch. Returns whether they completed a message (a list or a heartbeat). On failure
// resets the version, because changes may have been lost and only a snapshot restores them.
EndpointListResult<bool> Discovery::HandleBytes(Connection& connection, std::string_view bytes,
                                                std::uint64_t generation) {
  try {
    EndpointListResult<bool> has_message = HandleMessages(connection, bytes, generation);
    if (!has_message) reader_.ResetVersion();
    return has_message;
  } catch (const std::exception&) {
    reader_.ResetVersion();
    throw;
  }
}

EndpointListResult<bool> Discovery::HandleMessages(Connection& connection, std::string_view bytes,
                                                   std::uint64_t generation) {
  bool has_message = false;
  while (generation == generation_) {
    const EndpointListResult<JsonStream::Item> item = connection.messages.Next(bytes);
    if (!item) return item.error();
    if (*item == JsonStream::Item::kNone) break;
    if (*item == JsonStream::Item::kLineEnd) {
      has_message |= HandleHeartbeat(connection);
      continue;
    }
    EndpointListResult<EndpointList> list = reader_.Read(connection.messages.Take());
    if (!list) return list.error();
    has_message = true;
    connection.is_answered = true;
    backoff_ = timing_.min_backoff;
    on_list_(std::move(*list));
  }
  return has_message;
}

// Returns whether the heartbeat counts as a message. While a polled watch has not answered, it means that
// nothing has changed since the known version, which the decision module waits to hear. A watch that has to
// begin with a snapshot must not be kept open without one.
bool Discovery::HandleHeartbeat(Connection& connection) {
  if (!polls_ || connection.is_answered) return true;
  if (reader_.version() == 0) return false;
  connection.is_answered = true;
  on_list_(EndpointList{});
  return true;
}

}  // namespace badgerbridge::proxy
