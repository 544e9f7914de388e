// SPDX-License-Identifier: Apache-2.0
//
// Reads a file and parses its text as TOML (toml.io, v1.0.0).
#ifndef BADGERBRIDGE_OPERATOR_CONFIG_TOML_FILE_H_
#define BADGERBRIDGE_OPERATOR_CONFIG_TOML_FILE_H_

#include <cstddef>
#include <string>
#include <string_view>

// Version 3.3 of toml++ fails an assertion on some malformed keys. The assertion throws instead, so that the
// problem is reported as an error in the file.
#include <stdexcept>
#define TOML_EXCEPTIONS 1
#define TOML_ASSERT(condition)                                      \
  do {                                                              \
    if (!(condition)) throw std::invalid_argument("malformed key"); \
  } while (false)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored \
    "-Wterminate"  // in a noexcept function of toml++, a failed assertion terminates the program
#include <toml++/toml.h>
#pragma GCC diagnostic pop

#include "operator_config/problem.h"

namespace badgerbridge::operator_config {

/// The root table of a TOML text, or its first syntax error. `file` is the file name in the problem.
Result<toml::table> ParseToml(std::string_view text, const std::string& file);

/// The content of a file of at most `max_bytes` bytes, or why it cannot be read.
Result<std::string> ReadFile(const std::string& path, std::size_t max_bytes);

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_TOML_FILE_H_
