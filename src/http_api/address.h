// SPDX-License-Identifier: Apache-2.0
//
// "address:port" as every file and message here has it: no names to resolve; an IPv6 address in brackets (RFC
// 3986, section 3.2.2).
#ifndef BADGERBRIDGE_HTTP_API_ADDRESS_H_
#define BADGERBRIDGE_HTTP_API_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace badgerbridge::http_api {

// Port 0 is one: "any", where something listens.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view text);
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_ADDRESS_H_
