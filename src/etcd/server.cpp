// SPDX-License-Identifier: Apache-2.0
#include "etcd/server.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <stdexcept>

#include "http_api/acceptor.h"
#include "http_api/address.h"
#include "http_api/tls_context.h"
#include "net/read_grace.h"

namespace badgerbridge::etcd {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kBacklog = 1024;  // connections that wait to be accepted

// RFC 9113, section 3.2: "h2" is the only protocol here.
int SelectH2(SSL*, const unsigned char** out, unsigned char* out_size, const unsigned char* in,
             unsigned in_size, void*) {
  static constexpr unsigned char kH2[] = {2, 'h', '2'};
  unsigned char* selected = nullptr;
  const int found = SSL_select_next_proto(&selected, out_size, kH2, sizeof kH2, in, in_size);
  *out = selected;
  return found == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_ALERT_FATAL;
}

bool IsDue(Clock::time_point since, milliseconds bound, Clock::time_point now) {
  return bound > milliseconds(0) && now - since >= bound;
}

}  // namespace

// ---- one connection

ServerConnection::ServerConnection(asio::io_context& io, tcp::socket socket, const ServerOptions& options,
                                   asio::ssl::context* tls)
    : io_(io),
      options_(options),
      plain_(io),
      handshake_timer_(io),
      pause_(io),
      ended_(io, Clock::time_point::max()),
      heard_(Clock::now()),
      busy_(heard_),
      progress_(heard_) {
  ErrorCode ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  if (tls) {
    tls_.emplace(std::move(socket), *tls);
  } else {
    plain_ = std::move(socket);
  }
}

asio::awaitable<bool> ServerConnection::Handshake() {
  if (!tls_) co_return true;
  ErrorCode error;
  handshake_timer_.ArmAfter(options_.handshake_timeout,
                            [this] { Close("no handshake within the time for it"); });
  co_await tls_->async_handshake(asio::ssl::stream_base::server,
                                 asio::redirect_error(asio::use_awaitable, error));
  handshake_timer_.Disarm();
  if (error) Close("the handshake failed: " + error.message());
  co_return !closed_;
}

asio::awaitable<void> ServerConnection::Run() {
  const auto self = shared_from_this();
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  if (!co_await Handshake()) co_return;
  open_ = true;
  heard_ = busy_ = progress_ = Clock::now();
  asio::co_spawn(io_, Supervise(), [self](std::exception_ptr) {});
  Flush();
  std::array<char, 16384> piece;
  while (!closed_) {
    if (options_.silent && options_.silent()) {
      co_await ended_.async_wait(token);  // what comes is never looked at
      continue;
    }
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
    if (options_.silent && options_.silent()) continue;
    heard_ = Clock::now();
    feeding_ = true;
    const bool good = http2_->Feed({piece.data(), n});
    feeding_ = false;
    Flush();
    if (!good) Close(http2_->error());
  }
}

// Asks a silent client, and ends a connection that is silent, idle or stalled for too long. Where this
// process was held up, what has come meanwhile is handled before anybody is judged by it.
asio::awaitable<void> ServerConnection::Supervise() {
  const auto self = shared_from_this();
  constexpr milliseconds kLongest{5000}, kShortest{5};
  milliseconds every = kLongest;
  for (const milliseconds bound :
       {options_.ping_every, options_.ping_timeout, options_.idle_timeout, options_.stall_timeout}) {
    if (bound > milliseconds(0)) every = std::clamp(bound / 4, kShortest, every);
  }
  ErrorCode error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  std::optional<Clock::time_point> asked;
  net::ReadGrace unread;
  while (!closed_) {
    pause_.expires_after(every);
    co_await pause_.async_wait(token);
    if (closed_) co_return;
    const auto now = Clock::now();
    if (now - pause_.expiry() >= every) continue;
    if (http2_->open() > 0) busy_ = now;
    if (http2_->unsent() == 0 && !writing_) progress_ = now;
    if (asked && heard_ >= *asked) asked.reset();
    if (asked && IsDue(*asked, options_.ping_timeout, now) && !unread.Postpones(socket())) {
      Close("the client is silent: no answer to a ping");
    } else if (IsDue(progress_, options_.stall_timeout, now)) {
      Close("the client does not read its answers");
    } else if (IsDue(busy_, options_.idle_timeout, now)) {
      http2_->GoAway();
      CloseWhenFlushed();
    } else if (!asked && IsDue(heard_, options_.ping_every, now)) {
      asked = now;
      http2_->Ping();
      Flush();
    }
  }
}

void ServerConnection::Flush() {
  if (!open_ || closed_ || feeding_ || writing_) return;
  if (options_.silent && options_.silent()) return;
  writing_ = true;  // handlers run within TakeOutput
  std::string bytes = http2_->TakeOutput();
  writing_ = false;
  if (closed_) return;
  const bool go_on = !options_.written || options_.written(*this, &bytes);
  if (!bytes.empty()) {
    out_ = std::move(bytes);
    writing_ = true;
    const auto written = [self = shared_from_this(), last = !go_on](ErrorCode error, std::size_t) {
      self->Written(error, last);
    };
    if (tls_) {
      asio::async_write(*tls_, asio::buffer(out_), written);
    } else {
      asio::async_write(plain_, asio::buffer(out_), written);
    }
    return;
  }
  if (!go_on || close_when_flushed_ || http2_->done()) Close("all is sent");
}

void ServerConnection::Written(const ErrorCode& error, bool last) {
  writing_ = false;
  if (closed_) return;
  if (error) return Close("the connection ended: " + error.message());
  if (last) return Close("cut");
  progress_ = Clock::now();
  if (on_progress) on_progress();
  Flush();
}

void ServerConnection::CloseWhenFlushed() {
  close_when_flushed_ = true;
  Flush();
}

void ServerConnection::Close(const std::string& why) {
  if (std::exchange(closed_, true)) return;
  const auto self = shared_from_this();
  ErrorCode ignored;
  socket().close(ignored);
  handshake_timer_.Disarm();
  pause_.cancel();
  ended_.cancel();
  http2_->Lost(why);
  if (on_disconnected) on_disconnected(why);
}

// ---- the server

struct Server::State {
  ServerOptions options;
  OnConnection on_connection;
  std::optional<asio::ssl::context> tls;
  std::shared_ptr<http_api::detail::Acceptor<tcp>> acceptor;
  std::set<std::shared_ptr<ServerConnection>> connections;
  bool accepting = true;
};

Server::Server(asio::io_context& io, const tcp::endpoint& address, ServerOptions options,
               OnConnection on_connection)
    : state_(std::make_shared<State>()) {
  state_->options = std::move(options);
  state_->on_connection = std::move(on_connection);
  if (state_->options.tls) {
    state_->tls.emplace(http_api::MakeTlsContext(*state_->options.tls, http_api::TlsSide::kServer));
    SSL_CTX_set_alpn_select_cb(state_->tls->native_handle(), SelectH2, nullptr);
  }
  using Slot = std::shared_ptr<http_api::detail::Connection>;
  const auto run = [&io, weak = std::weak_ptr<State>(state_)](tcp::socket socket,
                                                              Slot slot) -> asio::awaitable<void> {
    const auto state = weak.lock();
    if (!state || !state->on_connection) co_return;
    const auto connection = std::make_shared<ServerConnection>(io, std::move(socket), state->options,
                                                               state->tls ? &*state->tls : nullptr);
    slot->is_busy = true;  // none is ended to make room for another
    slot->close = [weak_connection = std::weak_ptr<ServerConnection>(connection)] {
      if (const auto one = weak_connection.lock()) one->Close("the server ends");
    };
    connection->http2_ =
        std::make_unique<Http2Server>(state->options.limits, state->on_connection(connection));
    state->connections.insert(connection);
    if (!state->accepting) connection->http2().GoAway();
    co_await connection->Run();
    state->connections.erase(connection);
  };
  state_->acceptor = std::make_shared<http_api::detail::Acceptor<tcp>>(io, state_->options.connections,
                                                                       milliseconds(0), run);
  auto& acceptor = state_->acceptor->listening_socket();
  ErrorCode error;
  acceptor.open(address.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(address, error);
  if (!error) acceptor.listen(kBacklog, error);
  if (error)
    throw std::runtime_error("cannot listen on " + http_api::ToText(address) + ": " + error.message());
  state_->acceptor->Start();
}

Server::~Server() {
  state_->accepting = false;
  const auto connections = state_->connections;
  for (const auto& connection : connections) connection->Close("the server ends");
  state_->acceptor->Close();
  state_->on_connection = nullptr;
}

tcp::endpoint Server::address() const { return state_->acceptor->listening_socket().local_endpoint(); }

std::size_t Server::connections() const {
  return static_cast<std::size_t>(
      std::count_if(state_->connections.begin(), state_->connections.end(),
                    [](const auto& connection) { return !connection->closed(); }));
}

void Server::StopAccepting() {
  if (!std::exchange(state_->accepting, false)) return;
  state_->acceptor->StopAccepting();
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    connection->http2().GoAway();
    connection->Flush();
  }
}

}  // namespace badgerbridge::etcd
