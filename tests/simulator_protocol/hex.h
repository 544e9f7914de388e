// SPDX-License-Identifier: Apache-2.0
#ifndef BADGERBRIDGE_TESTS_SIMULATOR_PROTOCOL_HEX_H_
#define BADGERBRIDGE_TESTS_SIMULATOR_PROTOCOL_HEX_H_

#include <string>
#include <string_view>

namespace badgerbridge::balancer::testing {

// Bytes from hexadecimal digits; blanks are for the reader.
inline std::string Hex(std::string_view text) {
  std::string digits, bytes;
  for (char c : text) {
    if (c != ' ') digits += c;
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

}  // namespace badgerbridge::balancer::testing

#endif  // BADGERBRIDGE_TESTS_SIMULATOR_PROTOCOL_HEX_H_
