// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/load_header.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace badgerbridge::proxy_main {
namespace {

constexpr std::string_view kUtilizationField = "util=";

std::optional<double> ParseFraction(std::string_view text) {
  const char* const end = text.data() + text.size();
  double fraction = -1;
  const auto [parsed_up_to, error] = std::from_chars(text.data(), end, fraction);
  if (error != std::errc() || parsed_up_to != end) return std::nullopt;
  const bool is_fraction = fraction >= 0 && fraction <= 1;  // false for NaN
  if (!is_fraction) return std::nullopt;
  return fraction;
}

}  // namespace

std::optional<double> ParseUtilization(std::string_view load_header) {
  std::size_t begin = 0;
  while (begin < load_header.size()) {
    const std::size_t end = std::min(load_header.find(',', begin), load_header.size());
    const std::string_view field = load_header.substr(begin, end - begin);
    if (field.starts_with(kUtilizationField)) return ParseFraction(field.substr(kUtilizationField.size()));
    begin = end + 1;
  }
  return std::nullopt;
}

}  // namespace badgerbridge::proxy_main
