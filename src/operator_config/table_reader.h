// SPDX-License-Identifier: Apache-2.0
//
// Reads one table of a TOML file key by key and collects every problem with its place, so that a file is
// checked completely before anything of it takes effect.
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

/// How a file spells a key that was renamed.
struct KeySpelling {
  std::string_view key;            ///< the spelling to read
  std::optional<Problem> warning;  ///< set if that is the former name
};

/// Reads the keys of one table. Not thread-safe.
class TableReader {
 public:
  /// `where` names the table in messages, "" for the file's root. Problems are appended to `problems`. The
  /// table, the file's name and the list must outlive the reader.
  TableReader(const toml::table& table, std::string where, const std::string& file, Problems& problems);
  TableReader(const TableReader&) = delete;
  TableReader& operator=(const TableReader&) = delete;

  /// Whether the table has the key, of whatever type.
  bool Has(std::string_view key) const { return table_.contains(key); }

  /// The string at the key. As in all functions below: the default if the key is absent, or if its value is
  /// wrong and has been reported.
  std::string Text(std::string_view key, std::string default_value = "");
  /// The boolean at the key.
  bool Boolean(std::string_view key, bool default_value);
  /// The integer at the key, which must be from `min` to `max`.
  std::int64_t Integer(std::string_view key, std::int64_t default_value, std::int64_t min, std::int64_t max);
  /// The duration at the key (a string, see ParseDuration), which must be from `min` to `max`.
  std::chrono::milliseconds Duration(std::string_view key, std::chrono::milliseconds default_value,
                                     std::chrono::milliseconds min, std::chrono::milliseconds max);
  /// The strings of the array at the key; wrong elements are reported and left out.
  std::vector<std::string> Texts(std::string_view key);
  /// The integers of the array at the key, which must be from `min` to `max`; others are reported and left
  /// out.
  std::vector<std::int64_t> Integers(std::string_view key, std::int64_t min, std::int64_t max);
  /// The strings of the table at the key, by their keys; wrong values are reported and left out.
  std::map<std::string, std::string> TextMap(std::string_view key);
  /// A reader of the table at the key; null if the key is absent or no table.
  std::unique_ptr<TableReader> Table(std::string_view key);
  /// Readers of the tables of the array at the key; wrong elements are reported and left out.
  std::vector<std::unique_ptr<TableReader>> Tables(std::string_view key);

  /// Which of its two names the file uses for a key that was renamed: `key`, unless `former_key` stands there
  /// alone. Both at once are reported.
  KeySpelling ResolveRenamedKey(std::string_view key, std::string_view former_key);

  /// Reports a problem at the key, or at the table if the key is absent. The message is the key's name and
  /// then `text`.
  void Report(std::string_view key, std::string text);
  /// Reports the key if it is absent; `expected` says what to give.
  void Require(std::string_view key, std::string_view expected);

  /// To be called after the last key has been read: reports the keys that nothing has read.
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
  std::set<std::string, std::less<>> known_keys_;  // that have been read
};

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_TABLE_READER_H_
