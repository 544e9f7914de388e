// SPDX-License-Identifier: Apache-2.0
//
// What the rig says: lines for people as it goes, and one line of key=value at the end.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_REPORT_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_REPORT_H_

#include <string>
#include <utility>
#include <vector>

#include "least_squares.h"
#include "scale_rig/trial.h"

namespace badgerbridge::scale {

class Report {
 public:
  // Before every key that is set from now on.
  void UsePrefix(std::string prefix) { prefix_ = std::move(prefix); }
  // Kept in the order of their first mention. Three significant digits at least.
  void Set(const std::string& key, double value);
  // "scale: key=value ...", as the last line.
  void PrintLast(int broken) const;

 private:
  std::string prefix_;
  std::vector<std::pair<std::string, double>> values_;
};

void PrintStart(const std::string& name, const StartResult& result, std::size_t proxies);
void PrintSpread(const std::string& name, const SpreadResult& result);
void PrintUsage(const std::string& name, const Usage& usage, std::size_t proxies);

// A straight line through at least four sizes, printed with its points and residuals, and reported under
// `key`.
void PrintSlope(const std::string& what, const std::string& unit, const std::string& key,
                const std::vector<bench::Point>& points, Report* report);

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_REPORT_H_
