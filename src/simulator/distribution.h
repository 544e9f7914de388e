// SPDX-License-Identifier: Apache-2.0

/// @file
/// How long work takes, or how far events are apart.
#ifndef BADGERBRIDGE_SIMULATOR_DISTRIBUTION_H_
#define BADGERBRIDGE_SIMULATOR_DISTRIBUTION_H_

#include <vector>

#include "simulator/random.h"

namespace badgerbridge::simulator {

/// Draws are at most so many means: one draw of a heavy tail must not be the whole run.
constexpr double kMaxMeansPerDraw = 1000;

/// A distribution of times, in ms.
struct Distribution {
  /// Its family.
  enum class Kind {
    kConstant,     ///< Always the mean.
    kExponential,  ///< Exponential.
    kLognormal,    ///< Lognormal; the spread is its coefficient of variation.
    kPareto,       ///< Pareto; the spread is its tail index, above 1.
    kTable,        ///< Drawn evenly from the table; mean and spread are not used.
  };
  Kind kind = Kind::kExponential;  ///< Its family.
  double mean = 20;                ///< Its mean, ms.
  double spread = 1;               ///< As its kind has it.
  std::vector<double> table;       ///< Values of kTable, ms.

  /// One draw, ms.
  double Draw(Random& random) const;
  /// The mean of draws, ms (without the bound on one draw).
  double Mean() const;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_DISTRIBUTION_H_
