// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/statistics.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::scale {
namespace {

double OfSorted(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace

double Percentile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  return OfSorted(values, quantile);
}

Distribution Summarize(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {values.size(), OfSorted(values, 0.5), OfSorted(values, 0.99), OfSorted(values, 1)};
}

}  // namespace badgerbridge::scale
