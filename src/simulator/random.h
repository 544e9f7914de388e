// SPDX-License-Identifier: Apache-2.0
//
// Randomness of a run: a stream for each thing that draws, so that one that draws more leaves the others as
// they were (common random numbers: two policies under one seed meet the same arrivals and the same work).
// Boost's distributions give the same numbers on every platform, which the standard's do not promise.
#ifndef BADGERBRIDGE_SIMULATOR_RANDOM_H_
#define BADGERBRIDGE_SIMULATOR_RANDOM_H_

#include <boost/random/taus88.hpp>
#include <cstdint>
#include <vector>

namespace badgerbridge::simulator {

class Random {
 public:
  // The stream `stream` of the run `seed`.
  Random(std::uint64_t seed, std::uint64_t stream);

  double Unit();                         // from [0, 1)
  std::uint64_t Below(std::uint64_t n);  // from 0 to n - 1; n > 0
  double Exponential(double mean);
  double Normal();

 private:
  boost::random::taus88 engine_;
};

// How long work takes, or how far events are apart, in ms. Bounded from above by kMostMean means, so that one
// draw of a heavy tail cannot be the whole run.
struct Shape {
  enum class Kind { kConstant, kExponential, kLognormal, kPareto, kTable };
  Kind kind = Kind::kExponential;
  double mean = 20;
  double spread = 1;          // kLognormal: the coefficient of variation; kPareto: the tail's index, above 1
  std::vector<double> table;  // kTable: drawn from evenly; mean and spread are not used

  double Draw(Random& random) const;
  double Mean() const;
};
constexpr double kMostMeans = 1000;

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_RANDOM_H_
