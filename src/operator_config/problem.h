// SPDX-License-Identifier: Apache-2.0
//
// Errors in a configuration file, with their positions.
#ifndef BADGERBRIDGE_OPERATOR_CONFIG_PROBLEM_H_
#define BADGERBRIDGE_OPERATOR_CONFIG_PROBLEM_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>
#include <vector>

namespace badgerbridge::operator_config {

/// One error in a file.
struct Problem {
  std::string file;     ///< the file's name
  unsigned line = 0;    ///< from 1; 0: the file as a whole
  unsigned column = 0;  ///< from 1; 0: the file as a whole
  std::string text;     ///< what is wrong and which value is expected
};

/// All errors in a file, in the order in which they were found.
using Problems = std::vector<Problem>;

/// A value, or the problem that prevented it.
template <typename T>
using Result = boost::system::result<T, Problem>;

/// Called by Result::value() if there is no value: throws std::runtime_error with the formatted problem.
[[noreturn]] void throw_exception_from_error(const Problem& problem, const boost::source_location& location);

/// "file:line:column: text", without a line end.
std::string FormatProblem(const Problem& problem);

/// One line for each problem, with its line end, sorted by position in the file.
std::string FormatProblems(Problems problems);

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_PROBLEM_H_
