// SPDX-License-Identifier: Apache-2.0
//
// An HTTP/1.1 request parser whose memory is bounded by the bytes that it is given.
#ifndef BADGERBRIDGE_PROXY_REQUEST_PARSER_H_
#define BADGERBRIDGE_PROXY_REQUEST_PARSER_H_

#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string_view>

namespace badgerbridge::proxy {

/// Header fields whose value the proxy or a backend uses. Each may occur once in a request.
inline constexpr std::array<std::string_view, 8> kSingleFields = {
    "Host",           "X-Correlation-Id", "X-Service-Class", "X-Account",
    "X-Time-Left-Ms", "Idempotency-Key",  "X-Weight-Hint",   "X-Repeat"};

/// Parses one request and keeps only the header fields that the proxy reads: kSingleFields, Content-Length
/// and Transfer-Encoding. Beast allocates every field separately, with an overhead far larger than a short
/// field, so that a header of many short fields would take many times its size. Chunk trailers are treated as
/// header fields. Connection is parsed, but not kept: use keep_alive() of the parser, not of the message.
class RequestParser : public boost::beast::http::request_parser<boost::beast::http::string_body> {
 private:
  void on_field_impl(boost::beast::http::field field, boost::beast::string_view name,
                     boost::beast::string_view value, boost::beast::error_code& error) override;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_REQUEST_PARSER_H_
