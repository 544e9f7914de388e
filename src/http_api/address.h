// SPDX-License-Identifier: Apache-2.0
//
// Endpoints as "address:port" text: numeric addresses only, an IPv6 address in brackets (RFC 3986, section
// 3.2.2).
#ifndef BADGERBRIDGE_HTTP_API_ADDRESS_H_
#define BADGERBRIDGE_HTTP_API_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace badgerbridge::http_api {

/// The address and port in `text`; std::nullopt if it is malformed or contains a host name. Port 0 is
/// accepted: a listening socket then binds to any free port.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view text);

/// Formats the endpoint so that ParseAddress() reads it back.
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_ADDRESS_H_
