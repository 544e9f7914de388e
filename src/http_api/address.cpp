// SPDX-License-Identifier: Apache-2.0
#include "http_api/address.h"

#include <charconv>

namespace badgerbridge::http_api {

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  boost::system::error_code invalid;
  const auto address = boost::asio::ip::make_address(host, invalid);
  if (invalid) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  return (endpoint.address().is_v6() ? "[" + host + "]" : host) + ":" + std::to_string(endpoint.port());
}

}  // namespace badgerbridge::http_api
