// SPDX-License-Identifier: Apache-2.0
//
// A client's messages: from a call to an HTTP/1.1 request (RFC 9112), and from a response to a Reply.
#ifndef BADGERBRIDGE_HTTP_API_CLIENT_MESSAGES_H_
#define BADGERBRIDGE_HTTP_API_CLIENT_MESSAGES_H_

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>

#include "http_api/client.h"

namespace badgerbridge::http_api::detail {

/// A request with a JSON body, after whose answer the connection is closed (RFC 9112, section 9.6).
boost::beast::http::request<boost::beast::http::string_body> MakeRequestMessage(const std::string& method,
                                                                                const std::string& target,
                                                                                std::string body);

/// The response as a Reply; an error if its body is no JSON.
Reply ParseReply(const boost::beast::http::response<boost::beast::http::string_body>& message);

/// The reply to a call that failed with `error`. `timeout` is the call's.
Reply MakeFailedReply(const boost::beast::error_code& error, std::chrono::milliseconds timeout);

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_CLIENT_MESSAGES_H_
