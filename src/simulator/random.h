// SPDX-License-Identifier: Apache-2.0

/// @file
/// Randomness of a run: a stream for each thing that draws, so that one that draws more leaves the others as
/// they were (common random numbers: two policies under one seed meet the same arrivals and the same work).
#ifndef BADGERBRIDGE_SIMULATOR_RANDOM_H_
#define BADGERBRIDGE_SIMULATOR_RANDOM_H_

#include <boost/random/taus88.hpp>
#include <cstdint>

namespace badgerbridge::simulator {

/// One stream of random numbers. Boost's distributions give the same numbers on every platform, which the
/// standard's do not promise.
class Random {
 public:
  /// The stream `stream` of the run `seed`.
  Random(std::uint64_t seed, std::uint64_t stream);

  /// Evenly from [0, 1).
  double DrawUnit();
  /// Evenly from 0 to `bound` - 1; `bound` must be positive.
  std::uint64_t DrawBelow(std::uint64_t bound);
  /// From the exponential distribution with this mean.
  double DrawExponential(double mean);
  /// From the normal distribution with mean 0 and deviation 1.
  double DrawNormal();

 private:
  boost::random::taus88 engine_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_RANDOM_H_
