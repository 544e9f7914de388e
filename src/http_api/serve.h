// SPDX-License-Identifier: Apache-2.0
//
// What servers over Unix sockets and over TLS share: the loop of one connection.
#ifndef BADGERBRIDGE_HTTP_API_SERVE_H_
#define BADGERBRIDGE_HTTP_API_SERVE_H_

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <iostream>

#include "http_api/acceptor.h"
#include "http_api/server.h"

namespace badgerbridge::http_api::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

inline std::optional<Request> ToRequest(const http::request<http::string_body>& message) {
  const auto url = boost::urls::parse_origin_form({message.target().data(), message.target().size()});
  if (!url) return std::nullopt;
  Request request;
  request.method = std::string(message.method_string());
  request.path = std::string(url->encoded_path());
  for (const auto& param : url->params()) request.query[std::string(param.key)] = std::string(param.value);
  request.body = message.body();
  return request;
}

// Serves the stream until it ends, errs, is silent for too long, or is closed from outside.
template <typename Stream>
asio::awaitable<void> Serve(Stream& stream, std::shared_ptr<Connection> connection, ServerLimits limits,
                            Handler handler, Peer peer) {
  beast::flat_buffer buffer(limits.header + limits.body);
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header));
    parser.body_limit(limits.body);
    if (connection->asked && buffer.size() == 0) {
      beast::get_lowest_layer(stream).expires_after(limits.idle_timeout);
      const std::size_t n = co_await stream.async_read_some(buffer.prepare(1024), token);
      if (error) co_return;
      buffer.commit(n);
    }
    beast::get_lowest_layer(stream).expires_after(limits.request_timeout);
    co_await http::async_read(stream, buffer, parser, token);
    connection->since = std::chrono::steady_clock::now();
    Response response;
    bool keep = false;
    if (!error) {
      connection->asked = connection->busy = true;
      beast::get_lowest_layer(stream).expires_never();
      keep = parser.get().keep_alive();
      std::optional<Request> request = ToRequest(parser.get());
      if (!request) {
        response = Error(400, "malformed target");
      } else {
        try {
          response = co_await handler(std::move(*request), peer);
        } catch (const std::exception& failure) {
          std::cerr << "a control request failed: " << failure.what() << '\n';
          response = Error(500, "it could not be carried out; the log says why");
        }
      }
    } else if (error == http::error::body_limit) {
      response = Error(413, "the body is larger than " + std::to_string(limits.body) + " bytes");
    } else if (error == http::error::header_limit) {
      response = Error(431, "the header is larger than " + std::to_string(limits.header) + " bytes");
    } else if (error.category() == http::make_error_code(http::error::bad_method).category() &&
               error != http::error::end_of_stream && error != http::error::partial_message) {
      response = Error(400, "not HTTP/1.1");
    } else {
      co_return;
    }
    http::response<http::string_body> message{http::int_to_status(response.status), 11};
    message.result(response.status);
    message.set(http::field::content_type, "application/json");
    message.body() = boost::json::serialize(response.body) + "\n";
    message.keep_alive(keep);
    message.prepare_payload();
    beast::get_lowest_layer(stream).expires_after(limits.request_timeout);
    co_await http::async_write(stream, message, token);
    connection->busy = false;
    connection->since = std::chrono::steady_clock::now();
    if (error || !keep) co_return;
  }
}

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_SERVE_H_
