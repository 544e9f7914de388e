// SPDX-License-Identifier: Apache-2.0
#include "simulator/random.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace badgerbridge::simulator {
namespace {

constexpr int kDiscardedDraws = 8;  // the engine's first numbers still show its seed

// SplitMix64 (Steele, Lea, Flood, 2014).
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ull;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
  return value ^ (value >> 31);
}

}  // namespace

Random::Random(std::uint64_t seed, std::uint64_t stream)
    : engine_(static_cast<std::uint32_t>(Mix(Mix(seed) ^ stream) >> 16) | 0x100u) {
  for (int i = 0; i < kDiscardedDraws; ++i) engine_();
}

double Random::DrawUnit() { return boost::random::uniform_01<double>()(engine_); }

std::uint64_t Random::DrawBelow(std::uint64_t bound) {
  return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double Random::DrawExponential(double mean) {
  return boost::random::exponential_distribution<double>(1)(engine_) * mean;
}

double Random::DrawNormal() { return boost::random::normal_distribution<double>()(engine_); }

}  // namespace badgerbridge::simulator
