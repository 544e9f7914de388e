// SPDX-License-Identifier: Apache-2.0
//
// Durations as configuration files and command lines have them.
#ifndef BADGERBRIDGE_OPERATOR_CONFIG_DURATION_H_
#define BADGERBRIDGE_OPERATOR_CONFIG_DURATION_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace badgerbridge::operator_config {

/// "250ms", "10s", "2m", "1h": a whole number and its unit. Nothing for any other text, and for more than
/// 2^40 milliseconds.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// The text from which ParseDuration gives this duration, in the largest unit that needs no fraction.
std::string FormatDuration(std::chrono::milliseconds duration);

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_DURATION_H_
