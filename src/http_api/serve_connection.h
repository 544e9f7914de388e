// SPDX-License-Identifier: Apache-2.0
//
// Reads, handles and answers the requests of one server connection, over a Unix socket or TLS stream.
#ifndef BADGERBRIDGE_HTTP_API_SERVE_CONNECTION_H_
#define BADGERBRIDGE_HTTP_API_SERVE_CONNECTION_H_

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iostream>

#include "http_api/connection.h"
#include "http_api/server_messages.h"

namespace badgerbridge::http_api::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Reads the next request into `parser`: waits for its first bytes for at most the idle timeout, and then
/// for the rest for at most the request timeout.
template <typename Stream>
asio::awaitable<beast::error_code> ReadRequest(Stream& stream, beast::flat_buffer& buffer,
                                               http::request_parser<http::string_body>& parser,
                                               Connection& connection, const ServerLimits& limits) {
  constexpr std::size_t kFirstReadBytes = 1024;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(limits.max_body_bytes);
  if (connection.has_sent_request && buffer.size() == 0) {
    beast::get_lowest_layer(stream).expires_after(limits.idle_timeout);
    const std::size_t size = co_await stream.async_read_some(buffer.prepare(kFirstReadBytes), token);
    if (error) co_return error;
    buffer.commit(size);
  }
  beast::get_lowest_layer(stream).expires_after(limits.request_timeout);
  co_await http::async_read(stream, buffer, parser, token);
  connection.last_activity_at = std::chrono::steady_clock::now();
  co_return error;
}

/// The handler's response; status 400 for a malformed target, 500 if the handler throws.
inline asio::awaitable<Response> HandleMessage(const http::request<http::string_body>& message,
                                               const Handler& handler, const Peer& peer) {
  std::optional<Request> request = ParseRequest(message);
  if (!request) co_return Error(400, "malformed target");
  try {
    co_return co_await handler(std::move(*request), peer);
  } catch (const std::exception& failure) {
    std::cerr << "control API request failed: " << failure.what() << "; answering with status 500" << '\n';
  }
  co_return Error(500, "it could not be carried out; the log says why");
}

/// Serves the requests of `peer` until the stream ends, fails, is idle for too long, or is closed by
/// Connection::close.
template <typename Stream>
asio::awaitable<void> ServeConnection(Stream& stream, std::shared_ptr<Connection> connection,
                                      ServerLimits limits, Handler handler, Peer peer) {
  beast::flat_buffer buffer(limits.max_header_bytes + limits.max_body_bytes);
  for (;;) {
    http::request_parser<http::string_body> parser;
    beast::error_code error = co_await ReadRequest(stream, buffer, parser, *connection, limits);
    bool keep_alive = false;
    std::optional<Response> response;
    if (error) {
      response = ResponseToReadError(error, limits);
    } else {
      connection->has_sent_request = true;
      connection->is_busy = true;
      beast::get_lowest_layer(stream).expires_never();
      keep_alive = parser.get().keep_alive();
      response = co_await HandleMessage(parser.get(), handler, peer);
    }
    if (!response) co_return;
    const http::response<http::string_body> message = MakeResponseMessage(*response, keep_alive);
    beast::get_lowest_layer(stream).expires_after(limits.request_timeout);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    connection->is_busy = false;
    connection->last_activity_at = std::chrono::steady_clock::now();
    if (error || !keep_alive) co_return;
  }
}

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_SERVE_CONNECTION_H_
