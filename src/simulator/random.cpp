// SPDX-License-Identifier: Apache-2.0
#include "simulator/random.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <numeric>

namespace badgerbridge::simulator {
namespace {

std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

}  // namespace

Random::Random(std::uint64_t seed, std::uint64_t stream)
    : engine_(static_cast<std::uint32_t>(Mix(Mix(seed) ^ stream) >> 16) | 0x100u) {
  for (int i = 0; i < 8; ++i) engine_();
}

double Random::Unit() { return boost::random::uniform_01<double>()(engine_); }
std::uint64_t Random::Below(std::uint64_t n) {
  return boost::random::uniform_int_distribution<std::uint64_t>(0, n - 1)(engine_);
}
double Random::Exponential(double mean) {
  return boost::random::exponential_distribution<double>(1)(engine_) * mean;
}
double Random::Normal() { return boost::random::normal_distribution<double>()(engine_); }

double Shape::Mean() const {
  if (kind != Kind::kTable) return mean;
  return table.empty() ? 0
                       : std::accumulate(table.begin(), table.end(), 0.0) / static_cast<double>(table.size());
}

double Shape::Draw(Random& random) const {
  double value = mean;
  switch (kind) {
    case Kind::kConstant:
      break;
    case Kind::kExponential:
      value = random.Exponential(mean);
      break;
    case Kind::kLognormal: {
      const double variance = std::log1p(spread * spread);
      value = mean * std::exp(std::sqrt(variance) * random.Normal() - variance / 2);
      break;
    }
    case Kind::kPareto:
      value = mean * (spread - 1) / spread * std::pow(1 - random.Unit(), -1 / spread);
      break;
    case Kind::kTable:
      return table.empty() ? 0 : table[random.Below(table.size())];
  }
  return std::min(value, mean * kMostMeans);
}

}  // namespace badgerbridge::simulator
