// SPDX-License-Identifier: Apache-2.0
#include <sys/socket.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <cerrno>

#include "http_api/client.h"
#include "http_api/stream_call.h"

namespace badgerbridge::http_api {
namespace {

namespace asio = boost::asio;
using Local = asio::local::stream_protocol;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxPathBytes = 107;  // sun_path, unix(7), less its terminator
constexpr std::chrono::milliseconds kBacklogRetryDelay{10};

// Connects the socket, and retries until `deadline` while the server's backlog is full. It does not use
// async_connect, which takes EAGAIN for a connection in progress; on a Unix socket it means a full backlog
// (unix(7)).
asio::awaitable<boost::beast::error_code> Connect(Local::socket& socket, const Local::endpoint& endpoint,
                                                  Clock::time_point deadline) {
  boost::beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  socket.open(Local(), error);
  if (!error) socket.non_blocking(true, error);
  while (!error) {
    const auto size = static_cast<socklen_t>(endpoint.size());
    if (::connect(socket.native_handle(), endpoint.data(), size) == 0) break;
    if (errno == EINTR) continue;
    if (errno != EAGAIN) {
      error.assign(errno, boost::system::system_category());
    } else if (Clock::now() + kBacklogRetryDelay >= deadline) {
      error = boost::beast::error::timeout;
    } else {
      asio::steady_timer delay(socket.get_executor(), kBacklogRetryDelay);
      co_await delay.async_wait(token);
    }
  }
  co_return error;
}

}  // namespace

asio::awaitable<Reply> CallUnix(std::string path, std::string method, std::string target, std::string body,
                                std::chrono::milliseconds timeout) {
  auto executor = co_await asio::this_coro::executor;
  if (path.size() > kMaxPathBytes) {
    Reply reply;
    reply.error = CallError{CallErrorCode::kSocketPathTooLong, "", {}};
    co_return reply;
  }
  boost::beast::basic_stream<Local> stream(executor);
  const auto deadline = Clock::now() + timeout;
  const Local::endpoint endpoint(path);
  const boost::beast::error_code error = co_await Connect(stream.socket(), endpoint, deadline);
  stream.expires_at(deadline);
  co_return co_await detail::CallOverStream(stream, error, std::move(method), std::move(target),
                                            std::move(body), timeout);
}

}  // namespace badgerbridge::http_api
