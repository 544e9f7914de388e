// SPDX-License-Identifier: Apache-2.0
//
// Builds the client's HTTP/1.1 requests (RFC 9112) and parses the responses.
#ifndef BADGERBRIDGE_HTTP_API_CLIENT_MESSAGES_H_
#define BADGERBRIDGE_HTTP_API_CLIENT_MESSAGES_H_

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>

#include "http_api/client.h"

namespace badgerbridge::http_api::detail {

/// A request with a JSON body and "Connection: close" (RFC 9112, section 9.6).
boost::beast::http::request<boost::beast::http::string_body> MakeRequestMessage(const std::string& method,
                                                                                const std::string& target,
                                                                                std::string body);

/// The response as a Reply; Reply::error is set if its body is not JSON.
Reply ParseReply(const boost::beast::http::response<boost::beast::http::string_body>& message);

/// The reply to a call that failed with `error`. `timeout` is the call's, for the error message.
Reply MakeFailedReply(const boost::beast::error_code& error, std::chrono::milliseconds timeout);

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_CLIENT_MESSAGES_H_
