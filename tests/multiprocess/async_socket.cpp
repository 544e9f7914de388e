// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/async_socket.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <chrono>
#include <utility>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
using namespace boost::asio::experimental::awaitable_operators;  // operator||

namespace {

std::chrono::microseconds ToDuration(double time_ms) {
  return std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, time_ms) * 1000));
}

}  // namespace

asio::awaitable<void> Pause(asio::io_context& io, double time_ms) {
  asio::steady_timer timer(io, ToDuration(time_ms));
  Error ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// What is awaited are named objects here and below: GCC 12 destroys some temporaries of a co_await twice.
asio::awaitable<bool> ConnectWithin(tcp::socket& socket, tcp::endpoint address, double timeout_ms) {
  Error error = asio::error::timed_out;
  Error timer_error;
  asio::steady_timer timer(socket.get_executor(), ToDuration(timeout_ms));
  auto connected = socket.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
  auto timed_out = timer.async_wait(asio::redirect_error(asio::use_awaitable, timer_error));
  auto either = std::move(connected) || std::move(timed_out);
  const auto first = co_await std::move(either);
  co_return first.index() == 0 && !error;
}

asio::awaitable<void> WaitReadable(tcp::socket& socket, double until_ms) {
  Error error;
  Error timer_error;
  asio::steady_timer timer(socket.get_executor(), ToDuration(until_ms - NowMs()));
  auto readable = socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  auto timed_out = timer.async_wait(asio::redirect_error(asio::use_awaitable, timer_error));
  auto either = std::move(readable) || std::move(timed_out);
  co_await std::move(either);
}

ReadableState PeekSocket(tcp::socket& socket) {
  char byte = 0;
  const ssize_t n = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return ReadableState::kBytes;
  const bool would_wait = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_wait ? ReadableState::kNothing : ReadableState::kEnd;
}

bool TakeReset(tcp::socket& socket) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

}  // namespace badgerbridge::multiprocess
