// SPDX-License-Identifier: Apache-2.0
/// \file
/// Pseudo-random numbers that are the same on every platform for the same seed.
#ifndef BADGERBRIDGE_BALANCER_RANDOM_H_
#define BADGERBRIDGE_BALANCER_RANDOM_H_

#include <cstdint>
#include <random>

namespace badgerbridge::balancer {

/// A generator that is determined by its seed alone. The standard distributions differ between libraries, so
/// none of them is used.
class Random {
 public:
  /// Starts the sequence that belongs to `seed`.
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// A number in [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  /// An integer in [0, bound); `bound` must not be 0.
  std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }

 private:
  std::mt19937_64 engine_;
};

/// Scatters consecutive ids over all 64-bit values: the finalizer of SplitMix64.
inline std::uint64_t MixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_RANDOM_H_
