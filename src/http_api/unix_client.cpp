// SPDX-License-Identifier: Apache-2.0
#include <sys/socket.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <cerrno>

#include "http_api/client.h"
#include "http_api/exchange.h"

namespace badgerbridge::http_api {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kBacklogPause{10};

std::string Reply::Why() const {
  if (!error.empty()) return error;
  if (const boost::json::object* object = body.if_object()) {
    if (const boost::json::value* text = object->if_contains("error"); text && text->is_string())
      return std::string(text->get_string());
  }
  return "status " + std::to_string(status);
}

asio::awaitable<Reply> CallUnix(std::string path, std::string method, std::string target, std::string body,
                                std::chrono::milliseconds timeout) {
  using Local = asio::local::stream_protocol;
  auto executor = co_await asio::this_coro::executor;
  boost::beast::basic_stream<Local> stream(executor);
  boost::beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  Reply reply;
  if (path.size() > 107) {
    reply.error = "the socket's path is too long";
    co_return reply;
  }
  const auto due = std::chrono::steady_clock::now() + timeout;
  const Local::endpoint endpoint(path);
  stream.socket().open(Local(), error);
  if (!error) stream.socket().non_blocking(true, error);
  // Not by async_connect: EAGAIN here says that the server's backlog is full (unix(7)), not that a connection
  // is under way. It is tried again, within the time.
  while (!error) {
    if (::connect(stream.socket().native_handle(), endpoint.data(),
                  static_cast<socklen_t>(endpoint.size())) == 0)
      break;
    if (errno == EINTR) continue;
    if (errno != EAGAIN) {
      error.assign(errno, boost::system::system_category());
    } else if (std::chrono::steady_clock::now() + kBacklogPause >= due) {
      error = boost::beast::error::timeout;
    } else {
      asio::steady_timer pause(executor, kBacklogPause);
      co_await pause.async_wait(token);
    }
  }
  stream.expires_at(due);
  co_return co_await detail::Exchange(stream, error, std::move(method), std::move(target), std::move(body),
                                      timeout);
}

}  // namespace badgerbridge::http_api
