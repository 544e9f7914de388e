// SPDX-License-Identifier: Apache-2.0

/// @file
/// One scenario under several configurations and the same seeds: the same requests come in each, so that
/// configurations are compared pair by pair (common random numbers).
#ifndef BADGERBRIDGE_SIMULATOR_EXPERIMENT_H_
#define BADGERBRIDGE_SIMULATOR_EXPERIMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "simulator/model.h"

namespace badgerbridge::simulator {

/// What is changed of the scenario.
struct Configuration {
  ZoneFailoverModel::Mode mode = ZoneFailoverModel::Mode::kOff;  ///< How zone failover decides.
  int proxies = 0;                                               ///< 0: as the scenario has it.

  /// For people and in JSON: the mode and the number of proxies.
  std::string Name(const Model& model) const;
};

/// What counts of one run.
struct RunSummary {
  double served_weight_share = 0;  ///< Priority weight served, of that requested.
  double top_rejected_share = 0;   ///< Rejected requests of the class with the highest priority weight.
  double cross_zone_share = 0;     ///< Of attempts.
  std::string violation;           ///< Rule and description; empty: the rules held.
};

/// A mean with its 95 % interval.
struct Interval {
  double mean = 0;  ///< The mean.
  double low = 0;   ///< The interval's lower end.
  double high = 0;  ///< The interval's upper end.

  /// Whether 0 lies in the interval.
  bool ContainsZero() const { return low <= 0 && high >= 0; }
};

/// The mean of `values` with its interval by the percentile bootstrap (Efron and Tibshirani, An Introduction
/// to the Bootstrap, 1993, chapter 13), 2,000 times, from a fixed seed. No values: all 0.
Interval Bootstrap(const std::vector<double>& values);

/// The runs of one configuration.
struct ConfigurationResult {
  Configuration configuration;     ///< The configuration.
  std::vector<RunSummary> runs;    ///< By seed, from the first.
  Interval served_weight_share;    ///< Over the runs.
  Interval difference_from_first;  ///< Of served_weight_share from the first configuration's, in pairs.
};

/// The seeds of an experiment.
struct SeedRange {
  std::uint64_t first = 1;  ///< The first.
  std::size_t count = 1;    ///< How many, one after another.
};

/// Runs every configuration under every seed, on `threads` threads; the result is the same on any number.
std::vector<ConfigurationResult> Compare(const Model& model, const std::vector<Configuration>& configurations,
                                         SeedRange seeds, unsigned threads);

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_EXPERIMENT_H_
