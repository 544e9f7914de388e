// SPDX-License-Identifier: Apache-2.0
//
// Reads one table of a TOML file (toml.io, v1.0.0) key by key and collects every problem with the place where
// it stands, so that a file is checked whole before anything of it takes effect.
#ifndef BADGERBRIDGE_OPERATOR_CONFIG_TABLE_READER_H_
#define BADGERBRIDGE_OPERATOR_CONFIG_TABLE_READER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Version 3.3 meets some malformed keys with an assertion of its own: a problem of the file, not of the
// program.
#include <stdexcept>
#define TOML_EXCEPTIONS 1
#define TOML_ASSERT(holds)                                      \
  do {                                                          \
    if (!(holds)) throw std::invalid_argument("malformed key"); \
  } while (false)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored \
    "-Wterminate"  // in its functions that don't throw, an assertion ends the program
#include <toml++/toml.h>
#pragma GCC diagnostic pop

#include "operator_config/problem.h"

namespace badgerbridge::operator_config {

// "250ms", "10s", "2m", "1h": a whole number and its unit. Nothing for all else.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);
std::string FormatDuration(std::chrono::milliseconds duration);

class TableReader {
 public:
  // `where` names the table in messages, "" for the file's root. The table, the file's name and the list must
  // outlive the reader.
  TableReader(const toml::table& table, std::string where, const std::string& file, Problems& problems);
  TableReader(const TableReader&) = delete;
  TableReader& operator=(const TableReader&) = delete;

  bool Has(std::string_view key) const { return table_.contains(key); }

  // Each gives what stands there, or `otherwise` if the key is absent or its value is reported as a problem.
  std::string Text(std::string_view key, std::string otherwise = "");
  bool Flag(std::string_view key, bool otherwise);
  std::int64_t Whole(std::string_view key, std::int64_t otherwise, std::int64_t least, std::int64_t most);
  std::chrono::milliseconds Duration(std::string_view key, std::chrono::milliseconds otherwise,
                                     std::chrono::milliseconds least, std::chrono::milliseconds most);
  std::vector<std::string> Texts(std::string_view key);
  std::vector<std::int64_t> Wholes(std::string_view key, std::int64_t least, std::int64_t most);
  std::map<std::string, std::string> TextMap(std::string_view key);
  // Null if absent or no table.
  std::unique_ptr<TableReader> Table(std::string_view key);
  std::vector<std::unique_ptr<TableReader>> Tables(std::string_view key);

  // The spelling of a key that the file uses: `key`, or the one that it had before, which goes on working and
  // adds one line to `warnings`. Both at once are a problem.
  std::string_view Spelling(std::string_view key, std::string_view former, Problems& warnings);

  // At the key, or at the table if it is absent.
  void Report(std::string_view key, std::string text);
  void Require(std::string_view key, std::string_view what);

  // After the last key has been asked for: reports the keys that nobody asked for.
  void Finish();

  const std::string& where() const { return where_; }

 private:
  const toml::node* Find(std::string_view key);
  std::string Name(std::string_view key) const;
  void ReportAt(const toml::node& node, std::string text);

  const toml::table& table_;
  std::string where_;
  const std::string& file_;
  Problems& problems_;
  std::set<std::string, std::less<>> asked_;
};

// Parses the text; reports a syntax error and gives nothing then.
std::optional<toml::table> ParseToml(std::string_view text, const std::string& file, Problems& problems);

// The whole file, at most `most` bytes; reports what prevents it at line 0.
std::optional<std::string> ReadFile(const std::string& path, std::size_t most, Problems& problems);

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_TABLE_READER_H_
