// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/link_proxy.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kPieceBytes = 16384;
constexpr std::size_t kSwallowedPieceBytes = 4096;
constexpr int kBacklog = 1024;
constexpr int kMaxFillers = 16;          // a queue of backlog 0 takes one or two
constexpr int kFillerConnectWaitMs = 5;  // for a connection over loopback to be established
constexpr std::chrono::milliseconds kAcceptRetryDelay{5};
constexpr double kMicrosecondsPerSecond = 1e6;

asio::awaitable<void> Pause(asio::io_context& io, std::chrono::microseconds time) {
  asio::steady_timer timer(io, time);
  Error ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

// A listening socket, the link that it stands for, and what keeps its queue full while that is cut.
struct LinkProxy::Listener {
  Listener(asio::io_context& io, std::string from_group, std::string to_group)
      : from(std::move(from_group)), to(std::move(to_group)), acceptor(io) {}

  std::string from;
  std::string to;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  Link link;
  std::uint64_t generation = 0;  // of the loop that accepts
  std::vector<tcp::socket> fillers;
  std::set<tcp::endpoint> filler_addresses;
  bool is_blocked = false;
};

struct LinkProxy::Connection {
  Connection(asio::io_context& io, std::shared_ptr<Listener> accepted_by, tcp::socket accepted)
      : listener(std::move(accepted_by)),
        near(std::move(accepted)),
        far(io),
        link_changed(io, Clock::time_point::max()) {}

  const LinkDirection& DirectionOf(Direction direction) const {
    return direction == Direction::kForward ? listener->link.forward : listener->link.back;
  }

  void Reset() {
    is_closed = true;
    Error ignored;
    for (tcp::socket* socket : {&near, &far}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    link_changed.cancel();
  }

  // Until this direction is not cut, or the connection is closed.
  asio::awaitable<void> AwaitHealed(Direction direction) {
    Error ignored;
    // The timer never expires: it is cancelled whenever the link is changed.
    while (DirectionOf(direction).is_cut && !is_closed)
      co_await link_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  std::shared_ptr<Listener> listener;
  tcp::socket near;
  tcp::socket far;
  asio::steady_timer link_changed;
  bool is_closed = false;
  int ended_directions = 0;
};

LinkProxy::LinkProxy(asio::io_context& io, std::uint64_t seed) : io_(io), random_(seed) {}

LinkProxy::~LinkProxy() {
  *alive_ = false;
  for (const auto& connection : connections_) connection->Reset();
}

tcp::endpoint LinkProxy::Open(const std::string& from, const std::string& to, const tcp::endpoint& target,
                              const asio::ip::address_v4& host) {
  const auto listener = std::make_shared<Listener>(io_, from, to);
  listener->target = target;
  listener->acceptor.open(tcp::v4());
  listener->acceptor.bind({host, 0});
  listener->acceptor.listen(kBacklog);
  listeners_.push_back(listener);
  asio::co_spawn(io_, Accept(listener, ++listener->generation), asio::detached);
  return listener->acceptor.local_endpoint();
}

std::vector<std::shared_ptr<LinkProxy::Listener>> LinkProxy::Matching(const std::string& from,
                                                                      const std::string& to) const {
  std::vector<std::shared_ptr<Listener>> matching;
  for (const auto& listener : listeners_) {
    if ((from == "*" || listener->from == from) && (to == "*" || listener->to == to))
      matching.push_back(listener);
  }
  return matching;
}

void LinkProxy::SetLink(const std::string& from, const std::string& to, const Link& link) {
  for (const auto& listener : Matching(from, to)) {
    listener->link = link;
    const bool block = link.forward.is_cut || link.back.is_cut;
    if (block && !listener->is_blocked) Block(*listener);
    if (!block && listener->is_blocked) Unblock(listener);
    for (const auto& connection : connections_) {
      if (connection->listener == listener) connection->link_changed.cancel();
    }
  }
}

void LinkProxy::Reset(const std::string& from, const std::string& to) {
  for (const auto& listener : Matching(from, to)) {
    for (const auto& connection : connections_) {
      if (connection->listener == listener) connection->Reset();
    }
  }
}

void LinkProxy::HalfClose(const std::string& from, const std::string& to) {
  Error ignored;
  for (const auto& listener : Matching(from, to)) {
    for (const auto& connection : connections_) {
      if (connection->listener != listener || connection->is_closed) continue;
      connection->near.shutdown(tcp::socket::shutdown_send, ignored);
      connection->far.shutdown(tcp::socket::shutdown_send, ignored);
    }
  }
}

// Linux drops a SYN while the queue of connections to be accepted is full (tcp(7), listen(2)).
void LinkProxy::Block(Listener& listener) {
  listener.is_blocked = true;
  ++listener.generation;
  Error ignored;
  listener.acceptor.cancel(ignored);
  ::listen(listener.acceptor.native_handle(), 0);
  const tcp::endpoint address = listener.acceptor.local_endpoint();
  for (int i = 0; i < kMaxFillers; ++i) {
    tcp::socket filler(io_, tcp::v4());
    filler.non_blocking(true, ignored);
    // Not by the library's connect, which waits until the connection is established; poll shows whether it
    // is.
    static_cast<void>(
        ::connect(filler.native_handle(), address.data(), static_cast<socklen_t>(address.size())));
    pollfd established{filler.native_handle(), POLLOUT, 0};
    if (poll(&established, 1, kFillerConnectWaitMs) <= 0) return;  // its SYN was dropped: the queue is full
    listener.filler_addresses.insert(filler.local_endpoint(ignored));
    listener.fillers.push_back(std::move(filler));
  }
}

void LinkProxy::Unblock(const std::shared_ptr<Listener>& listener) {
  listener->is_blocked = false;
  listener->fillers.clear();
  ::listen(listener->acceptor.native_handle(), kBacklog);
  asio::co_spawn(io_, Accept(listener, ++listener->generation), asio::detached);
}

asio::awaitable<void> LinkProxy::Accept(std::shared_ptr<Listener> listener, std::uint64_t generation) {
  const auto alive = alive_;
  Error error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (*alive && generation == listener->generation) {  // it may begin after a cut that came at once
    tcp::endpoint from;
    tcp::socket socket = co_await listener->acceptor.async_accept(from, token);
    if (!*alive || generation != listener->generation) co_return;
    if (error) {  // out of descriptors, for one
      co_await Pause(io_, kAcceptRetryDelay);
      continue;
    }
    if (listener->filler_addresses.erase(from) > 0) continue;
    socket.set_option(tcp::no_delay(true), error);
    const auto connection = std::make_shared<Connection>(io_, listener, std::move(socket));
    connections_.insert(connection);
    asio::co_spawn(io_, Serve(connection), asio::detached);
  }
}

bool LinkProxy::DrawSwallowed(const Link& link) {
  return static_cast<double>(random_() >> 11) * 0x1.0p-53 < link.swallowed_share;
}

std::chrono::microseconds LinkProxy::DrawDelay(const LinkDirection& direction) {
  const auto jitter = static_cast<std::uint64_t>(direction.jitter.count());
  if (jitter == 0) return direction.delay;
  return direction.delay + std::chrono::microseconds(static_cast<std::int64_t>(random_() % (jitter + 1)));
}

asio::awaitable<void> LinkProxy::Serve(std::shared_ptr<Connection> connection) {
  const auto alive = alive_;
  Error error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  if (DrawSwallowed(connection->listener->link)) {
    std::array<char, kSwallowedPieceBytes> dropped;
    while (!error) co_await connection->near.async_read_some(asio::buffer(dropped), token);
  } else {
    co_await connection->far.async_connect(connection->listener->target, token);
  }
  if (!*alive) co_return;
  if (error) {
    connection->Reset();
    connections_.erase(connection);
    co_return;
  }
  connection->far.set_option(tcp::no_delay(true), error);
  asio::co_spawn(io_, Forward(connection, Direction::kForward), asio::detached);
  asio::co_spawn(io_, Forward(connection, Direction::kBack), asio::detached);
}

asio::awaitable<void> LinkProxy::Forward(std::shared_ptr<Connection> connection, Direction direction) {
  const auto alive = alive_;
  co_await ForwardUntilEnd(*connection, direction);
  if (!*alive || ++connection->ended_directions < 2) co_return;
  Error ignored;
  connection->near.close(ignored);
  connection->far.close(ignored);
  connections_.erase(connection);
}

// The end of this object closes every connection, so that what is awaited here ends with `is_closed`.
asio::awaitable<void> LinkProxy::ForwardUntilEnd(Connection& connection, Direction direction) {
  const bool is_forward = direction == Direction::kForward;
  tcp::socket& from = is_forward ? connection.near : connection.far;
  tcp::socket& to = is_forward ? connection.far : connection.near;
  const LinkDirection& link = connection.DirectionOf(direction);  // SetLink changes it in place
  Error error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  std::array<char, kPieceBytes> piece;
  while (true) {
    const std::size_t size = co_await from.async_read_some(asio::buffer(piece), token);
    const Error read_error = error;
    if (connection.is_closed) co_return;
    if (!read_error && link.delay + link.jitter > std::chrono::microseconds(0)) {
      const std::chrono::microseconds delay = DrawDelay(link);
      co_await Pause(io_, delay);
    }
    co_await connection.AwaitHealed(direction);
    if (connection.is_closed) co_return;
    if (read_error == asio::error::eof) {
      to.shutdown(tcp::socket::shutdown_send, error);
      co_return;
    }
    if (!read_error) co_await asio::async_write(to, asio::buffer(piece.data(), size), token);
    if (connection.is_closed) co_return;
    if (read_error || error) co_return connection.Reset();
    if (link.bytes_per_s > 0) {
      const double time_us = kMicrosecondsPerSecond * static_cast<double>(size) / link.bytes_per_s;
      co_await Pause(io_, std::chrono::microseconds(static_cast<std::int64_t>(time_us)));
      if (connection.is_closed) co_return;
    }
  }
}

}  // namespace badgerbridge::multiprocess
