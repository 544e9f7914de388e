// SPDX-License-Identifier: Apache-2.0
//
// What calls over either transport share.
#ifndef BADGERBRIDGE_HTTP_API_EXCHANGE_H_
#define BADGERBRIDGE_HTTP_API_EXCHANGE_H_

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "http_api/client.h"

namespace badgerbridge::http_api::detail {

constexpr std::size_t kMostAnswer = 16 << 20;

inline std::string Words(const boost::beast::error_code& error, std::chrono::milliseconds timeout) {
  if (error == boost::beast::error::timeout)
    return "no answer within " + std::to_string(timeout.count()) + " ms";
  if (error == boost::beast::http::error::end_of_stream) return "it closed the connection without an answer";
  return error.message();
}

// Over a stream that is connected, or is not for this error; its time-out is set.
template <typename Stream>
boost::asio::awaitable<Reply> Exchange(Stream& stream, boost::beast::error_code error, std::string method,
                                       std::string target, std::string body,
                                       std::chrono::milliseconds timeout) {
  namespace http = boost::beast::http;
  auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
  Reply reply;
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, "badgerbridge");
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.keep_alive(false);
  request.prepare_payload();
  if (!error) co_await http::async_write(stream, request, token);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMostAnswer);
  if (!error) co_await http::async_read(stream, buffer, parser, token);
  if (error) {
    reply.error = Words(error, timeout);
    co_return reply;
  }
  reply.body = boost::json::parse(parser.get().body(), error);
  if (error) {
    reply.error = "its answer is no JSON";
  } else {
    reply.status = parser.get().result_int();
  }
  co_return reply;
}

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_EXCHANGE_H_
