// SPDX-License-Identifier: Apache-2.0
#ifndef FORDLB_TESTS_HEX_H_
#define FORDLB_TESTS_HEX_H_

#include <string>
#include <string_view>

namespace fordlb::testing {

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

}  // namespace fordlb::testing

#endif  // FORDLB_TESTS_HEX_H_
