// SPDX-License-Identifier: Apache-2.0
#include "compatibility/golden_file.h"

#include <stdlib.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace badgerbridge::compatibility {
namespace {

namespace json = boost::json;

constexpr char kRegenerateVariable[] = "BADGERBRIDGE_REGENERATE_GOLDEN";
/// Lines of a difference that are shown: before the first that differs, and from it on.
constexpr std::size_t kLinesBefore = 3;
constexpr std::size_t kLinesAfter = 8;

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  std::istringstream stream{std::string(text)};
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

void AppendLines(const std::vector<std::string>& lines, std::size_t first, std::size_t end, char mark,
                 std::string* text) {
  for (std::size_t i = first; i < std::min(end, lines.size()); ++i) *text += mark + lines[i] + "\n";
}

std::string FirstDifference(std::string_view expected, std::string_view actual) {
  const std::vector<std::string> before = SplitLines(expected);
  const std::vector<std::string> after = SplitLines(actual);
  std::size_t first = 0;
  while (first < std::min(before.size(), after.size()) && before[first] == after[first]) ++first;
  if (first == before.size() && first == after.size()) return "they differ in line ends alone\n";
  std::string text = "@@ line " + std::to_string(first + 1) + " @@\n";
  AppendLines(before, first - std::min(first, kLinesBefore), first, ' ', &text);
  AppendLines(before, first, first + kLinesAfter, '-', &text);
  AppendLines(after, first, first + kLinesAfter, '+', &text);
  return text;
}

bool RegenerationIsWanted() {
  const char* wanted = std::getenv(kRegenerateVariable);
  return wanted != nullptr && std::string_view(wanted) == "1";
}

std::string FieldPath(const std::string& path, std::string_view field) {
  return path.empty() ? std::string(field) : path + "." + std::string(field);
}

void AppendLeaves(const json::value& value, const std::string& path, std::string* text) {
  if (value.is_object() && !value.get_object().empty()) {
    for (const auto& [key, field] : value.get_object()) AppendLeaves(field, FieldPath(path, key), text);
  } else if (value.is_array() && !value.get_array().empty()) {
    for (std::size_t i = 0; i < value.get_array().size(); ++i)
      AppendLeaves(value.get_array()[i], path + "[" + std::to_string(i) + "]", text);
  } else {
    *text += path + ": " + json::serialize(value) + "\n";
  }
}

std::string TypeOf(const json::value& value) {
  switch (value.kind()) {
    case json::kind::null:
      return "null";
    case json::kind::bool_:
      return "boolean";
    case json::kind::int64:
    case json::kind::uint64:
    case json::kind::double_:
      return "number";
    case json::kind::string:
      return "string";
    case json::kind::array:
      return "list";
    case json::kind::object:
      return "object";
  }
  return "unknown";
}

void CollectStructure(const json::value& value, const std::string& path, const std::set<std::string>& fixed,
                      std::set<std::string>* lines) {
  if (fixed.count(path)) {
    lines->insert(path + " = " + json::serialize(value));
    return;
  }
  lines->insert(path + ": " + TypeOf(value));
  if (value.is_object()) {
    for (const auto& [key, field] : value.get_object())
      CollectStructure(field, FieldPath(path, key), fixed, lines);
  } else if (value.is_array()) {
    for (const json::value& element : value.get_array()) CollectStructure(element, path + "[]", fixed, lines);
  }
}

}  // namespace

std::string GoldenPath(std::string_view name) {
  return std::string(SOURCE_DIR) + "/tests/compatibility/golden/" + std::string(name);
}

std::string ReadGoldenFile(std::string_view name) { return ReadWholeFile(GoldenPath(name)); }

std::vector<std::string> GoldenLines(std::string_view name) {
  std::vector<std::string> lines = SplitLines(ReadGoldenFile(name));
  std::erase_if(lines, [](const std::string& line) { return line.empty(); });
  return lines;
}

testing::AssertionResult MatchesGoldenFile(std::string_view name, std::string_view actual) {
  if (RegenerationIsWanted()) {
    std::filesystem::create_directories(std::filesystem::path(GoldenPath(name)).parent_path());
    WriteWholeFile(GoldenPath(name), actual);
    return testing::AssertionFailure() << name << " was written anew, as " << kRegenerateVariable << " asks";
  }
  const std::string expected = ReadGoldenFile(name);
  if (expected == actual) return testing::AssertionSuccess();
  return testing::AssertionFailure() << "tests/compatibility/golden/" << name
                                     << " (-) differs from this version (+)\n"
                                     << FirstDifference(expected, actual);
}

std::string LeavesOf(const json::value& value) {
  std::string text;
  AppendLeaves(value, "", &text);
  return text;
}

std::string StructureOf(const json::value& value, const std::set<std::string>& fixed) {
  std::set<std::string> lines;
  CollectStructure(value, "", fixed, &lines);
  return JoinLines({lines.begin(), lines.end()});
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

TemporaryDirectory::TemporaryDirectory() {
  std::string path = (std::filesystem::temp_directory_path() / "compatibility_XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("no temporary directory can be made");
  path_ = path;
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string TemporaryDirectory::Path(std::string_view name) const { return path_ + "/" + std::string(name); }

std::string ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void WriteWholeFile(const std::string& path, std::string_view text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) throw std::runtime_error("cannot write " + path);
}

}  // namespace badgerbridge::compatibility
