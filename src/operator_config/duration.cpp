// SPDX-License-Identifier: Apache-2.0
#include "operator_config/duration.h"

#include <array>
#include <charconv>
#include <cstdint>

namespace badgerbridge::operator_config {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxDurationMs = std::int64_t{1} << 40;

struct Unit {
  std::string_view name;
  std::int64_t milliseconds = 0;
};
constexpr std::array<Unit, 4> kUnits{{{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}}};

}  // namespace

std::optional<milliseconds> ParseDuration(std::string_view text) {
  std::int64_t count = 0;
  const char* const text_end = text.data() + text.size();
  const auto [count_end, error] = std::from_chars(text.data(), text_end, count);
  if (error != std::errc() || count < 0) return std::nullopt;
  const std::string_view name(count_end, static_cast<std::size_t>(text_end - count_end));
  for (const Unit& unit : kUnits) {
    if (name != unit.name) continue;
    if (count > kMaxDurationMs / unit.milliseconds) return std::nullopt;
    return milliseconds(count * unit.milliseconds);
  }
  return std::nullopt;
}

std::string FormatDuration(milliseconds duration) {
  const Unit* largest_unit = kUnits.data();
  for (const Unit& unit : kUnits) {
    if (duration.count() != 0 && duration.count() % unit.milliseconds == 0) largest_unit = &unit;
  }
  return std::to_string(duration.count() / largest_unit->milliseconds) + std::string(largest_unit->name);
}

}  // namespace badgerbridge::operator_config
