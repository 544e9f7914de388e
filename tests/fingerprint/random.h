// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Random numbers that depend on the seed alone. The distributions of <random> differ between libraries, and
/// functions of libm between processors, so neither is used here.
#ifndef BADGERBRIDGE_TESTS_FINGERPRINT_RANDOM_H_
#define BADGERBRIDGE_TESTS_FINGERPRINT_RANDOM_H_

#include <cstddef>
#include <cstdint>

namespace badgerbridge::fingerprint {

/// SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  /// 64 random bits.
  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15;
    std::uint64_t bits = state_;
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
    return bits ^ (bits >> 31);
  }
  /// In [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  /// In [low, high).
  double Between(double low, double high) { return low + (high - low) * Unit(); }
  /// In [low, high], both included.
  int Integer(int low, int high) {
    return low + static_cast<int>(Next() % static_cast<std::uint64_t>(high - low + 1));
  }
  /// An index below `size`, which is above 0.
  std::size_t Index(std::size_t size) { return static_cast<std::size_t>(Next() % size); }
  /// True with this probability.
  bool Chance(double probability) { return Unit() < probability; }

 private:
  std::uint64_t state_;
};

}  // namespace badgerbridge::fingerprint

#endif  // BADGERBRIDGE_TESTS_FINGERPRINT_RANDOM_H_
