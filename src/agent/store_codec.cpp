// SPDX-License-Identifier: Apache-2.0
#include "agent/store_codec.h"

#include <boost/crc.hpp>
#include <charconv>
#include <cstdio>

namespace badgerbridge::agent {
namespace {

constexpr std::size_t kChecksumDigits = 8;
constexpr std::size_t kMaxLengthFieldBytes = 12;  // a space and the digits of the length

std::string Checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  char text[kChecksumDigits + 1];
  std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(crc.checksum()));
  return text;
}

std::optional<std::size_t> ParseLength(std::string_view digits) {
  std::size_t length = 0;
  const char* const last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, length);
  if (error != std::errc() || end != last) return std::nullopt;
  return length;
}

}  // namespace

std::string EncodeBatch(const std::vector<std::string>& records) {
  std::string json = "[";
  for (const std::string& record : records) {
    if (json.size() > 1) json += ",";
    json += record;
  }
  json += "]";
  return Checksum(json) + " " + std::to_string(json.size()) + " " + json + "\n";
}

std::optional<BatchView> FindBatch(std::string_view text) {
  const std::size_t first_space = text.find(' ');
  if (first_space != kChecksumDigits) return std::nullopt;
  const std::size_t second_space = text.find(' ', first_space + 1);
  if (second_space == std::string_view::npos || second_space - first_space > kMaxLengthFieldBytes)
    return std::nullopt;
  const auto length = ParseLength(text.substr(first_space + 1, second_space - first_space - 1));
  if (!length) return std::nullopt;
  const std::size_t size = second_space + 1 + *length + 1;
  if (size > text.size() || text[size - 1] != '\n') return std::nullopt;
  const std::string_view json = text.substr(second_space + 1, *length);
  if (Checksum(json) != text.substr(0, kChecksumDigits)) return std::nullopt;
  return BatchView{json, size};
}

}  // namespace badgerbridge::agent
