// SPDX-License-Identifier: Apache-2.0
//
// Tables for people.
#ifndef BADGERBRIDGE_CLI_RENDER_H_
#define BADGERBRIDGE_CLI_RENDER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace badgerbridge::cli {

class Table {
 public:
  Table(std::vector<std::string> header, bool color) : color_(color) { rows_.push_back(std::move(header)); }
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  bool empty() const { return rows_.size() <= 1; }
  // Columns as wide as they need to be; with colors, states that want attention stand out.
  std::string Text() const;

 private:
  bool color_;
  std::vector<std::vector<std::string>> rows_;
};

// "850 ms", "1.2 s", "3 m 20 s", "2 h 5 m".
std::string Age(std::int64_t ms);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_RENDER_H_
