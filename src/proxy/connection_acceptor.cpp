// SPDX-License-Identifier: Apache-2.0
#include "proxy/connection_acceptor.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <exception>
#include <iostream>

#include "net/socket_state.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

ConnectionAcceptor::ConnectionAcceptor(asio::io_context& io, const tcp::endpoint& address, Admit admit)
    : acceptor_(io), admit_(std::move(admit)) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  acceptor_.non_blocking(true);
}

ConnectionAcceptor::~ConnectionAcceptor() { CloseUnadmitted(); }

void ConnectionAcceptor::CloseUnadmitted() {
  if (unadmitted_ != kNoDescriptor) ::close(std::exchange(unadmitted_, kNoDescriptor));
}

ConnectionAcceptor::AcceptResult ConnectionAcceptor::AcceptOne() {
  if (unadmitted_ == kNoDescriptor) {
    unadmitted_ = ::accept(acceptor_.native_handle(), nullptr, nullptr);
    if (unadmitted_ == kNoDescriptor) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptResult::kQueueEmpty;
      const bool can_continue = errno == ECONNABORTED || errno == EINTR;
      return can_continue ? AcceptResult::kAccepted : AcceptResult::kFailed;
    }
  }
  try {
    admit_(unadmitted_);
  } catch (const std::exception& error) {
    std::cerr << "failed to admit a client connection; it is kept and retried: " << error.what() << '\n';
    return AcceptResult::kFailed;
  }
  unadmitted_ = kNoDescriptor;
  return AcceptResult::kAccepted;
}

bool ConnectionAcceptor::HasWaiting() {
  if (has_unadmitted()) return true;
  pollfd queue{acceptor_.native_handle(), POLLIN, 0};
  return ::poll(&queue, 1, 0) != 0;  // -1: unknown, so one may be waiting
}

void ConnectionAcceptor::StopNewHandshakes() { net::StopNewHandshakes(acceptor_); }

void ConnectionAcceptor::Close() {
  is_closed_ = true;
  boost::beast::error_code ignored;
  acceptor_.close(ignored);
  CloseUnadmitted();
}

}  // namespace badgerbridge::proxy
