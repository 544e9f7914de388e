// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Tables for people, and the choice between a table and JSON.
#ifndef BADGERBRIDGE_CLI_TABLE_H_
#define BADGERBRIDGE_CLI_TABLE_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace badgerbridge::cli {

/// Rows of cells below a header.
class Table {
 public:
  /// A table without rows. With `color`, cells that need attention are colored by terminal escapes.
  explicit Table(std::vector<std::string> header, bool color = false) : color_(color) {
    rows_.push_back(std::move(header));
  }
  /// Adds a row, which must have as many cells as the header.
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  /// Whether there is no row below the header.
  bool empty() const { return rows_.size() <= 1; }
  /// The table as lines; each column as wide as its widest cell.
  std::string ToString() const;
  /// The table as lines; nothing where there is no row.
  std::string ToStringUnlessEmpty() const { return empty() ? std::string() : ToString(); }

 private:
  bool color_;
  std::vector<std::vector<std::string>> rows_;
};

/// Writes `value` as one line of JSON, or the table if it has rows.
void WriteJsonOrTable(std::ostream& out, bool json, const boost::json::value& value, const Table& table);

/// A time for people: "850 ms", "1.2 s", "3 m 20 s", "2 h 5 m".
std::string FormatAge(std::int64_t milliseconds);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_TABLE_H_
