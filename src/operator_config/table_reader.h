// SPDX-License-Identifier: Apache-2.0
//
// Reads a TOML table key by key and collects every problem with its position, so that a file is validated
// completely before any of it is applied.
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

#include "operator_config/duration.h"
#include "operator_config/problem.h"
#include "operator_config/toml_file.h"

namespace badgerbridge::operator_config {

/// The name that a file uses for a renamed key.
struct KeySpelling {
  std::string_view key;            ///< the name to read
  std::optional<Problem> warning;  ///< set if `key` is the former name
};

/// Reads the keys of a table. Not thread-safe.
class TableReader {
 public:
  /// `where` is the table's name in messages, "" for the root. Problems are appended to `problems`. `table`,
  /// `file` (the file's name) and `problems` must outlive the reader.
  TableReader(const toml::table& table, std::string where, const std::string& file, Problems& problems);
  TableReader(const TableReader&) = delete;
  TableReader& operator=(const TableReader&) = delete;

  /// Whether the table has the key, with a value of any type.
  bool Has(std::string_view key) const { return table_.contains(key); }

  /// The string at the key. Like all functions below, it returns the default if the key is absent, and
  /// reports an invalid value and returns the default.
  std::string Text(std::string_view key, std::string default_value = "");
  /// The boolean at the key.
  bool Boolean(std::string_view key, bool default_value);
  /// The integer at the key, which must be from `min` to `max`.
  std::int64_t Integer(std::string_view key, std::int64_t default_value, std::int64_t min, std::int64_t max);
  /// The duration at the key (a string, see ParseDuration), which must be from `min` to `max`.
  std::chrono::milliseconds Duration(std::string_view key, std::chrono::milliseconds default_value,
                                     std::chrono::milliseconds min, std::chrono::milliseconds max);
  /// The strings of the array at the key; invalid elements are reported and omitted.
  std::vector<std::string> Texts(std::string_view key);
  /// The integers of the array at the key, which must be from `min` to `max`; others are reported and
  /// omitted.
  std::vector<std::int64_t> Integers(std::string_view key, std::int64_t min, std::int64_t max);
  /// The strings of the table at the key, by their keys; invalid values are reported and omitted.
  std::map<std::string, std::string> TextMap(std::string_view key);
  /// A reader of the table at the key; nullptr if the key is absent or is not a table.
  std::unique_ptr<TableReader> Table(std::string_view key);
  /// Readers of the tables of the array at the key; invalid elements are reported and omitted.
  std::vector<std::unique_ptr<TableReader>> Tables(std::string_view key);

  /// The name that the file uses for a renamed key: `former_key` if only that is present, else `key`. Reports
  /// a file that has both.
  KeySpelling ResolveRenamedKey(std::string_view key, std::string_view former_key);

  /// Reports a problem at the position of the key, or of the table if the key is absent. The message is the
  /// key's name followed by `text`.
  void Report(std::string_view key, std::string text);
  /// Reports the key if it is absent; `expected` describes the value to set.
  void Require(std::string_view key, std::string_view expected);

  /// Reports the keys that have not been read. Call it after reading the last key.
  void Finish();

 private:
  const toml::node* Find(std::string_view key);
  std::string QualifiedName(std::string_view key) const;
  void ReportAt(const toml::source_position& position, std::string text);
  void ReportAt(const toml::node& node, std::string text) { ReportAt(node.source().begin, std::move(text)); }
  void ReportType(const toml::node& node, const std::string& name, std::string_view expected);
  const std::string* NearestKnownKey(std::string_view key) const;
  std::string UnknownKeyMessage(std::string_view key) const;

  const toml::table& table_;
  std::string where_;
  const std::string& file_;
  Problems& problems_;
  std::set<std::string, std::less<>> known_keys_;  // the keys read so far
};

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_TABLE_READER_H_
