// SPDX-License-Identifier: Apache-2.0
//
// Durations as text in configuration files and command lines.
#ifndef BADGERBRIDGE_OPERATOR_CONFIG_DURATION_H_
#define BADGERBRIDGE_OPERATOR_CONFIG_DURATION_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace badgerbridge::operator_config {

/// "250ms", "10s", "2m", "1h": an integer with its unit. std::nullopt for any other text, and for more than
/// 2^40 milliseconds.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Formats a duration so that ParseDuration() reads it back, in the largest unit that needs no fraction.
std::string FormatDuration(std::chrono::milliseconds duration);

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_DURATION_H_
