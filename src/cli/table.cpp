// SPDX-License-Identifier: Apache-2.0
#include "cli/table.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <map>
#include <ostream>

namespace badgerbridge::cli {
namespace {

constexpr char kGreen[] = "32";
constexpr char kRed[] = "31";
constexpr char kYellow[] = "33";
constexpr std::size_t kColumnGap = 2;  // spaces between two columns

constexpr std::int64_t kMsPerSecond = 1000;
constexpr std::int64_t kMsPerMinute = 60 * kMsPerSecond;
constexpr std::int64_t kSecondsPerMinute = 60;
constexpr std::int64_t kSecondsPerHour = 60 * kSecondsPerMinute;

/// The color of a cell that holds a state or a result; null for all others.
const char* ColorOf(const std::string& cell) {
  static const std::map<std::string, const char*> kColors = {
      {"ready", kGreen},     {"done", kGreen},      {"failed", kRed},        {"silent", kRed},
      {"backoff", kRed},     {"running", kYellow},  {"draining", kYellow},   {"starting", kYellow},
      {"spawning", kYellow}, {"stopping", kYellow}, {"superseded", kYellow}, {"not begun", kYellow}};
  const auto found = kColors.find(cell);
  return found == kColors.end() ? nullptr : found->second;
}

std::string Colored(const std::string& cell) {
  const char* color = ColorOf(cell);
  return color ? "\x1b[" + std::string(color) + "m" + cell + "\x1b[0m" : cell;
}

std::vector<std::size_t> ColumnWidths(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  return widths;
}

}  // namespace

std::string Table::ToString() const {
  const std::vector<std::size_t> widths = ColumnWidths(rows_);
  std::string text;
  for (const auto& row : rows_) {
    const bool is_header = &row == &rows_.front();
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += color_ && !is_header ? Colored(row[i]) : row[i];
      if (i + 1 < row.size()) line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

void WriteJsonOrTable(std::ostream& out, bool json, const boost::json::value& value, const Table& table) {
  if (json) {
    out << boost::json::serialize(value) << '\n';
  } else {
    out << table.ToStringUnlessEmpty();
  }
}

std::string FormatAge(std::int64_t milliseconds) {
  if (milliseconds < kMsPerSecond) return std::to_string(milliseconds) + " ms";
  if (milliseconds < kMsPerMinute)
    return std::to_string(milliseconds / kMsPerSecond) + "." +
           std::to_string(milliseconds % kMsPerSecond / 100) + " s";
  const std::int64_t seconds = milliseconds / kMsPerSecond;
  if (seconds < kSecondsPerHour)
    return std::to_string(seconds / kSecondsPerMinute) + " m " + std::to_string(seconds % kSecondsPerMinute) +
           " s";
  return std::to_string(seconds / kSecondsPerHour) + " h " +
         std::to_string(seconds % kSecondsPerHour / kSecondsPerMinute) + " m";
}

}  // namespace badgerbridge::cli
