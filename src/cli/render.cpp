// SPDX-License-Identifier: Apache-2.0
#include "cli/render.h"

#include <algorithm>
#include <map>

namespace badgerbridge::cli {
namespace {

const char* ColorOf(const std::string& word) {
  static const std::map<std::string, const char*> kColors = {
      {"ready", "32"},    {"done", "32"},     {"failed", "31"},     {"silent", "31"},
      {"backoff", "31"},  {"running", "33"},  {"draining", "33"},   {"starting", "33"},
      {"spawning", "33"}, {"stopping", "33"}, {"superseded", "33"}, {"not begun", "33"}};
  const auto found = kColors.find(word);
  return found == kColors.end() ? nullptr : found->second;
}

}  // namespace

std::string Table::Text() const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      const char* color = color_ && &row != &rows_.front() ? ColorOf(row[i]) : nullptr;
      line += color ? "\x1b[" + std::string(color) + "m" + row[i] + "\x1b[0m" : row[i];
      if (i + 1 < row.size()) line.append(widths[i] - row[i].size() + 2, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

std::string Age(std::int64_t ms) {
  if (ms < 1000) return std::to_string(ms) + " ms";
  if (ms < 60000) return std::to_string(ms / 1000) + "." + std::to_string(ms % 1000 / 100) + " s";
  const std::int64_t s = ms / 1000;
  if (s < 3600) return std::to_string(s / 60) + " m " + std::to_string(s % 60) + " s";
  return std::to_string(s / 3600) + " h " + std::to_string(s % 3600 / 60) + " m";
}

}  // namespace badgerbridge::cli
