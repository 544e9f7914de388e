// SPDX-License-Identifier: Apache-2.0
//
// Parses the server's HTTP/1.1 requests (RFC 9112) and builds the responses.
#ifndef BADGERBRIDGE_HTTP_API_SERVER_MESSAGES_H_
#define BADGERBRIDGE_HTTP_API_SERVER_MESSAGES_H_

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "http_api/server.h"

namespace badgerbridge::http_api::detail {

/// Decodes a request; std::nullopt if its target is not in origin form (RFC 9112, section 3.2.1).
std::optional<Request> ParseRequest(
    const boost::beast::http::request<boost::beast::http::string_body>& message);

/// The HTTP response with a JSON body that ends with a line feed.
boost::beast::http::response<boost::beast::http::string_body> MakeResponseMessage(const Response& response,
                                                                                  bool keep_alive);

/// The response to a request that could not be read; std::nullopt if the connection has failed or ended, so
/// that no response can be sent.
std::optional<Response> ResponseToReadError(const boost::beast::error_code& error,
                                            const ServerLimits& limits);

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_SERVER_MESSAGES_H_
