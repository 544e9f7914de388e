// SPDX-License-Identifier: Apache-2.0
//
// A server's messages: from an HTTP/1.1 message (RFC 9112) to a Request, and from a Response to a message.
#ifndef BADGERBRIDGE_HTTP_API_SERVER_MESSAGES_H_
#define BADGERBRIDGE_HTTP_API_SERVER_MESSAGES_H_

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "http_api/server.h"

namespace badgerbridge::http_api::detail {

/// The request of a message; nothing if its target is not in origin form (RFC 9112, section 3.2.1).
std::optional<Request> ParseRequest(
    const boost::beast::http::request<boost::beast::http::string_body>& message);

/// The message of a response, with a JSON body that ends with a line feed.
boost::beast::http::response<boost::beast::http::string_body> MakeResponseMessage(const Response& response,
                                                                                  bool keep_alive);

/// The answer to a request that could not be read; nothing if the connection has failed or has ended, so that
/// no answer is due.
std::optional<Response> ResponseToReadError(const boost::beast::error_code& error,
                                            const ServerLimits& limits);

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_SERVER_MESSAGES_H_
