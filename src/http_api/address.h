// SPDX-License-Identifier: Apache-2.0
//
// "address:port" as every file and message here has it: numeric addresses alone, an IPv6 address in brackets
// (RFC 3986, section 3.2.2).
#ifndef BADGERBRIDGE_HTTP_API_ADDRESS_H_
#define BADGERBRIDGE_HTTP_API_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace badgerbridge::http_api {

/// The address and port that `text` holds; nothing if it is malformed or holds a host name. Port 0 is
/// accepted: a listening socket takes any free port then.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view text);

/// The text from which ParseAddress gives this endpoint.
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_ADDRESS_H_
