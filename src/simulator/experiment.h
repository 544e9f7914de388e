// SPDX-License-Identifier: Apache-2.0
//
// One scenario played in several ways under the same seeds: the same requests come in each, so the ways are
// compared pair by pair (common random numbers).
#ifndef BADGERBRIDGE_SIMULATOR_EXPERIMENT_H_
#define BADGERBRIDGE_SIMULATOR_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "simulator/model.h"

namespace badgerbridge::simulator {

// One way of playing it; the first that an experiment names is what the others are compared with.
struct Way {
  RegionsModel::Decide decide = RegionsModel::Decide::kOff;
  int proxies = 0;  // 0: as the scenario says
  std::string Name(const Model& model) const;
};

struct Played {
  double worth = 0;        // share of what was asked
  double top_refused = 0;  // share of the first tries of the class that is worth most
  double crossed = 0;      // share of attempts, to another zone
  std::string breach;      // empty: the rules held
};

struct Interval {
  double mean = 0, low = 0, high = 0;
  bool HoldsZero() const { return low <= 0 && high >= 0; }
};

// The mean of `values` with its 95 % interval by the percentile bootstrap (Efron and Tibshirani, An
// Introduction to the Bootstrap, 1993, chapter 13), 2,000 times, from a fixed seed. No values: all 0.
Interval Bootstrap(const std::vector<double>& values);

struct Compared {
  Way way;
  std::vector<Played> runs;  // by seed, from the first
  Interval worth;
  Interval against_first;  // paired differences of worth
};

// Plays every way under every seed from `first` on, on `threads` threads; the result is the same on any
// number.
std::vector<Compared> Compare(const Model& model, const std::vector<Way>& ways, std::uint64_t first,
                              std::size_t seeds, unsigned threads);

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_EXPERIMENT_H_
