// SPDX-License-Identifier: Apache-2.0
//
// Bytes written as hexadecimal digits.
#ifndef BADGERBRIDGE_TESTS_SIMULATOR_PROTOCOL_HEX_H_
#define BADGERBRIDGE_TESTS_SIMULATOR_PROTOCOL_HEX_H_

#include <string>
#include <string_view>

namespace badgerbridge::balancer::testing {

/// The bytes of hexadecimal digits; blanks are left out.
inline std::string Hex(std::string_view text) {
  std::string digits;
  for (const char digit : text) {
    if (digit != ' ') digits += digit;
  }
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

}  // namespace badgerbridge::balancer::testing

#endif  // BADGERBRIDGE_TESTS_SIMULATOR_PROTOCOL_HEX_H_
