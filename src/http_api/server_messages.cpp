// SPDX-License-Identifier: Apache-2.0
#include "http_api/server_messages.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace badgerbridge::http_api::detail {

namespace http = boost::beast::http;

std::optional<Request> ParseRequest(const http::request<http::string_body>& message) {
  const auto url = boost::urls::parse_origin_form({message.target().data(), message.target().size()});
  if (!url) return std::nullopt;
  Request request;
  request.method = std::string(message.method_string());
  request.path = std::string(url->encoded_path());
  for (const auto& param : url->params()) request.query[std::string(param.key)] = std::string(param.value);
  request.body = message.body();
  return request;
}

http::response<http::string_body> MakeResponseMessage(const Response& response, bool keep_alive) {
  http::response<http::string_body> message{http::int_to_status(response.status), 11};
  message.result(response.status);
  message.set(http::field::content_type, "application/json");
  message.body() = boost::json::serialize(response.body) + "\n";
  message.keep_alive(keep_alive);
  message.prepare_payload();
  return message;
}

std::optional<Response> ResponseToReadError(const boost::beast::error_code& error,
                                            const ServerLimits& limits) {
  if (error == http::error::body_limit)
    return Error(413, "the body is larger than " + std::to_string(limits.max_body_bytes) + " bytes");
  if (error == http::error::header_limit)
    return Error(431, "the header is larger than " + std::to_string(limits.max_header_bytes) + " bytes");
  const bool is_http_error = error.category() == http::make_error_code(http::error::bad_method).category();
  const bool has_ended = error == http::error::end_of_stream || error == http::error::partial_message;
  if (is_http_error && !has_ended) return Error(400, "not HTTP/1.1");
  return std::nullopt;
}

}  // namespace badgerbridge::http_api::detail
