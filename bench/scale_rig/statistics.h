// SPDX-License-Identifier: Apache-2.0
//
// Percentiles of what was measured. Pure.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_STATISTICS_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_STATISTICS_H_

#include <cstddef>
#include <vector>

namespace badgerbridge::scale {

// By nearest rank: the smallest value that at least `quantile` (0 to 1) of all values do not exceed; 0 if
// there is none.
double Percentile(std::vector<double> values, double quantile);

struct Distribution {
  std::size_t count = 0;
  double p50 = 0, p99 = 0, worst = 0;  // in the values' own unit
};

Distribution Summarize(std::vector<double> values);

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_STATISTICS_H_
