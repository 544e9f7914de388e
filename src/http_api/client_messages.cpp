// SPDX-License-Identifier: Apache-2.0
#include "http_api/client_messages.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace badgerbridge::http_api {

namespace http = boost::beast::http;

std::string Reply::ErrorMessage() const {
  if (error) return Message(*error);
  if (const boost::json::object* object = body.if_object()) {
    const boost::json::value* text = object->if_contains("error");
    if (text && text->is_string()) return std::string(text->get_string());
  }
  return "status " + std::to_string(status);
}

namespace detail {

http::request<http::string_body> MakeRequestMessage(const std::string& method, const std::string& target,
                                                    std::string body) {
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, "badgerbridge");
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.keep_alive(false);
  request.prepare_payload();
  return request;
}

Reply ParseReply(const http::response<http::string_body>& message) {
  Reply reply;
  boost::system::error_code error;
  reply.body = boost::json::parse(message.body(), error);
  if (error) {
    reply.error = CallError{CallErrorCode::kResponseNotJson, "", {}};
  } else {
    reply.status = message.result_int();
  }
  return reply;
}

Reply MakeFailedReply(const boost::beast::error_code& error, std::chrono::milliseconds timeout) {
  Reply reply;
  if (error == boost::beast::error::timeout) {
    reply.error = CallError{CallErrorCode::kTimeout, "", timeout};
  } else if (error == http::error::end_of_stream) {
    reply.error = CallError{CallErrorCode::kConnectionClosed, "", {}};
  } else {
    reply.error = CallError{CallErrorCode::kTransport, error.message(), {}};
  }
  return reply;
}

}  // namespace detail
}  // namespace badgerbridge::http_api
