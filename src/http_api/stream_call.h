// SPDX-License-Identifier: Apache-2.0
//
// One request and its response over a connected Unix socket or TLS stream.
#ifndef BADGERBRIDGE_HTTP_API_STREAM_CALL_H_
#define BADGERBRIDGE_HTTP_API_STREAM_CALL_H_

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http_api/client_messages.h"

namespace badgerbridge::http_api::detail {

/// The largest accepted body of a response, in bytes.
constexpr std::size_t kMaxResponseBytes = 16 << 20;

/// Sends the request over `stream`, whose timeout the caller has set, and reads the response. `error` is the
/// result of connecting: if it is set, nothing is sent and it becomes the reply's error.
template <typename Stream>
boost::asio::awaitable<Reply> CallOverStream(Stream& stream, boost::beast::error_code error,
                                             std::string method, std::string target, std::string body,
                                             std::chrono::milliseconds timeout) {
  namespace http = boost::beast::http;
  auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
  const http::request<http::string_body> request = MakeRequestMessage(method, target, std::move(body));
  if (!error) co_await http::async_write(stream, request, token);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  if (!error) co_await http::async_read(stream, buffer, parser, token);
  if (error) co_return MakeFailedReply(error, timeout);
  co_return ParseReply(parser.get());
}

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_STREAM_CALL_H_
