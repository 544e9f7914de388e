// SPDX-License-Identifier: Apache-2.0
#include "operator_config/problem.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace badgerbridge::operator_config {

void throw_exception_from_error(const Problem& problem, const boost::source_location& /*location*/) {
  throw std::runtime_error(FormatProblem(problem));
}

std::string FormatProblem(const Problem& problem) {
  if (problem.line == 0) return problem.file + ": " + problem.text;
  return problem.file + ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column) + ": " +
         problem.text;
}

std::string FormatProblems(Problems problems) {
  std::stable_sort(problems.begin(), problems.end(), [](const Problem& left, const Problem& right) {
    return std::pair(left.line, left.column) < std::pair(right.line, right.column);
  });
  std::string text;
  for (const Problem& problem : problems) text += FormatProblem(problem) + "\n";
  return text;
}

}  // namespace badgerbridge::operator_config
