// SPDX-License-Identifier: Apache-2.0
#include "simulator/distribution.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace badgerbridge::simulator {

double Distribution::Mean() const {
  if (kind != Kind::kTable) return mean;
  if (table.empty()) return 0;
  return std::accumulate(table.begin(), table.end(), 0.0) / static_cast<double>(table.size());
}

double Distribution::Draw(Random& random) const {
  double value = mean;
  switch (kind) {
    case Kind::kConstant:
      break;
    case Kind::kExponential:
      value = random.DrawExponential(mean);
      break;
    case Kind::kLognormal: {
      const double variance = std::log1p(spread * spread);
      value = mean * std::exp(std::sqrt(variance) * random.DrawNormal() - variance / 2);
      break;
    }
    case Kind::kPareto:
      value = mean * (spread - 1) / spread * std::pow(1 - random.DrawUnit(), -1 / spread);
      break;
    case Kind::kTable:
      return table.empty() ? 0 : table[random.DrawBelow(table.size())];
  }
  return std::min(value, mean * kMaxMeansPerDraw);
}

}  // namespace badgerbridge::simulator
