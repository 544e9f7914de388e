// SPDX-License-Identifier: Apache-2.0
#ifndef BADGERBRIDGE_OPERATOR_CONFIG_PROBLEM_H_
#define BADGERBRIDGE_OPERATOR_CONFIG_PROBLEM_H_

#include <string>
#include <vector>

namespace badgerbridge::operator_config {

// One thing that is wrong with a file, and what would be right.
struct Problem {
  std::string file;
  unsigned line = 0, column = 0;  // from 1; 0: the file as a whole
  std::string text;

  std::string Line() const;  // "file:line:column: text", without a line end
};
using Problems = std::vector<Problem>;

// In the order of the file, one line each, every line ended.
std::string Lines(Problems problems);

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_PROBLEM_H_
