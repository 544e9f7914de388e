// SPDX-License-Identifier: Apache-2.0
/// \file
/// Pseudo-random numbers that are the same on every platform for the same seed.
#ifndef BADGERBRIDGE_BALANCER_RANDOM_H_
#define BADGERBRIDGE_BALANCER_RANDOM_H_

#include <cstdint>
#include <random>

namespace badgerbridge::balancer {

/// A generator determined by its seed. It uses no standard distributions, since these differ between standard
/// libraries.
class Random {
 public:
  /// Equal seeds produce equal sequences.
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// A number in [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  /// An integer in [0, bound); `bound` must not be 0.
  std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }

 private:
  std::mt19937_64 engine_;
};

/// Hashes an id with the finalizer of SplitMix64, so that consecutive ids differ in all bits.
inline std::uint64_t MixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_RANDOM_H_
