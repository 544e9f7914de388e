// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/wire.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace badgerbridge::multiprocess {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kPiece = 16384;
constexpr int kBacklog = 1024;
constexpr int kMostFillers = 16;  // a queue of backlog 0 takes one or two
constexpr int kFillerWait = 5;    // ms, for a connection over loopback to come up

}  // namespace

// A listener, the link that it stands for, and what keeps its queue full while that is cut.
struct Wire::Port {
  Port(asio::io_context& io, std::string f, std::string t)
      : from(std::move(f)), to(std::move(t)), acceptor(io) {}
  std::string from, to;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  Link link;
  std::uint64_t turn = 0;  // of the loop that accepts
  std::vector<tcp::socket> fillers;
  std::set<tcp::endpoint> filled_from;
  bool blocked = false;
};

struct Wire::Session {
  Session(asio::io_context& io, std::shared_ptr<Port> p, tcp::socket s)
      : port(std::move(p)), near(std::move(s)), far(io), changed(io, Clock::time_point::max()) {}
  void Reset() {
    closed = true;
    Error ignored;
    for (tcp::socket* socket : {&near, &far}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    changed.cancel();
  }
  std::shared_ptr<Port> port;
  tcp::socket near, far;
  asio::steady_timer changed;  // cancelled whenever the link is another
  bool closed = false;
  int ended = 0;  // directions that have come to their end
};

Wire::Wire(asio::io_context& io, std::uint64_t seed) : io_(io), random_(seed) {}

Wire::~Wire() {
  *alive_ = false;
  for (const auto& session : sessions_) session->Reset();
}

tcp::endpoint Wire::Open(const std::string& from, const std::string& to, const tcp::endpoint& target,
                         const asio::ip::address_v4& host) {
  const auto port = std::make_shared<Port>(io_, from, to);
  port->target = target;
  port->acceptor.open(tcp::v4());
  port->acceptor.bind({host, 0});
  port->acceptor.listen(kBacklog);
  ports_.push_back(port);
  asio::co_spawn(io_, Accept(port, ++port->turn), asio::detached);
  return port->acceptor.local_endpoint();
}

template <typename Do>
void Wire::Each(const std::string& from, const std::string& to, Do act) {
  for (const auto& port : ports_) {
    if ((from == "*" || port->from == from) && (to == "*" || port->to == to)) act(port);
  }
}

void Wire::Set(const std::string& from, const std::string& to, const Link& link) {
  Each(from, to, [&](const std::shared_ptr<Port>& port) {
    port->link = link;
    const bool block = link.there.cut || link.back.cut;
    if (block && !port->blocked) Block(*port);
    if (!block && port->blocked) Unblock(port);
    for (const auto& session : sessions_) {
      if (session->port == port) session->changed.cancel();
    }
  });
}

void Wire::Reset(const std::string& from, const std::string& to) {
  Each(from, to, [&](const std::shared_ptr<Port>& port) {
    const auto all = sessions_;
    for (const auto& session : all) {
      if (session->port == port) session->Reset();
    }
  });
}

void Wire::HalfClose(const std::string& from, const std::string& to) {
  Each(from, to, [&](const std::shared_ptr<Port>& port) {
    Error ignored;
    for (const auto& session : sessions_) {
      if (session->port != port || session->closed) continue;
      session->near.shutdown(tcp::socket::shutdown_send, ignored);
      session->far.shutdown(tcp::socket::shutdown_send, ignored);
    }
  });
}

// Linux drops a SYN while the queue of connections to be accepted is full (tcp(7), listen(2)).
void Wire::Block(Port& port) {
  port.blocked = true;
  ++port.turn;
  Error ignored;
  port.acceptor.cancel(ignored);
  ::listen(port.acceptor.native_handle(), 0);
  const tcp::endpoint address = port.acceptor.local_endpoint();
  for (int i = 0; i < kMostFillers; ++i) {
    tcp::socket filler(io_, tcp::v4());
    filler.non_blocking(true, ignored);
    // Not by the library's connect, which waits until it is up.
    ::connect(filler.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
    pollfd waiting{filler.native_handle(), POLLOUT, 0};
    if (poll(&waiting, 1, kFillerWait) <= 0) return;  // its SYN was dropped: the queue is full
    port.filled_from.insert(filler.local_endpoint(ignored));
    port.fillers.push_back(std::move(filler));
  }
}

void Wire::Unblock(const std::shared_ptr<Port>& port) {
  port->blocked = false;
  port->fillers.clear();
  ::listen(port->acceptor.native_handle(), kBacklog);
  asio::co_spawn(io_, Accept(port, ++port->turn), asio::detached);
}

asio::awaitable<void> Wire::Accept(std::shared_ptr<Port> port, std::uint64_t turn) {
  const auto alive = alive_;
  Error error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (*alive && turn == port->turn) {  // it may begin after a cut that came at once
    tcp::endpoint from;
    tcp::socket socket = co_await port->acceptor.async_accept(from, token);
    if (!*alive || turn != port->turn) co_return;
    if (error) {
      asio::steady_timer pause(io_, std::chrono::milliseconds(5));  // out of descriptors, say
      co_await pause.async_wait(token);
      continue;
    }
    if (port->filled_from.erase(from) > 0) continue;
    socket.set_option(tcp::no_delay(true), error);
    const auto session = std::make_shared<Session>(io_, port, std::move(socket));
    sessions_.insert(session);
    asio::co_spawn(io_, Serve(session), asio::detached);
  }
}

asio::awaitable<void> Wire::Serve(std::shared_ptr<Session> session) {
  const auto alive = alive_;
  Error error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const double drawn = static_cast<double>(random_() >> 11) * 0x1.0p-53;
  if (drawn < session->port->link.swallowed) {
    std::array<char, 4096> dropped;
    while (!error) co_await session->near.async_read_some(asio::buffer(dropped), token);
  } else {
    co_await session->far.async_connect(session->port->target, token);
  }
  if (!*alive) co_return;
  if (error) {
    session->Reset();
    sessions_.erase(session);
    co_return;
  }
  session->far.set_option(tcp::no_delay(true), error);
  asio::co_spawn(io_, Pump(session, true), asio::detached);
  asio::co_spawn(io_, Pump(session, false), asio::detached);
}

asio::awaitable<void> Wire::Pump(std::shared_ptr<Session> session, bool there) {
  const auto alive = alive_;
  Error error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  tcp::socket& from = there ? session->near : session->far;
  tcp::socket& to = there ? session->far : session->near;
  const auto way = [&]() -> const Way& {
    return there ? session->port->link.there : session->port->link.back;
  };
  std::array<char, kPiece> piece;
  for (;;) {
    const std::size_t n = co_await from.async_read_some(asio::buffer(piece), token);
    const Error ended = error;
    if (!*alive || session->closed) break;
    if (!ended && way().delay + way().jitter > std::chrono::microseconds(0)) {
      const auto more =
          way().jitter.count() > 0
              ? static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(way().jitter.count() + 1))
              : 0;
      asio::steady_timer wait(io_, way().delay + std::chrono::microseconds(more));
      co_await wait.async_wait(token);
      if (!*alive || session->closed) break;
    }
    while (way().cut) {
      co_await session->changed.async_wait(
          token);  // its time never comes: whoever changes the link cancels it
      if (!*alive || session->closed) break;
    }
    if (!*alive || session->closed) break;
    if (ended == asio::error::eof) {
      to.shutdown(tcp::socket::shutdown_send, error);
      break;
    }
    if (ended) {
      session->Reset();
      break;
    }
    bytes_ += n;
    co_await asio::async_write(to, asio::buffer(piece.data(), n), token);
    if (!*alive || session->closed) break;
    if (error) {
      session->Reset();
      break;
    }
    if (way().bytes_per_s > 0) {
      asio::steady_timer wait(io_, std::chrono::microseconds(static_cast<std::int64_t>(
                                       1e6 * static_cast<double>(n) / way().bytes_per_s)));
      co_await wait.async_wait(token);
      if (!*alive || session->closed) break;
    }
  }
  if (!*alive) co_return;
  if (++session->ended < 2) co_return;
  Error ignored;
  session->near.close(ignored);
  session->far.close(ignored);
  sessions_.erase(session);
}

}  // namespace badgerbridge::multiprocess
