// SPDX-License-Identifier: Apache-2.0
#include "balancer/slow_backends.h"

#include <algorithm>
#include <cstddef>

#include "balancer/backend.h"

namespace badgerbridge::balancer {
namespace {

constexpr double kMinGain = 0.08;      // of one response
constexpr double kMaxGain = 0.3;       // of one that comes alone: three outweigh what was known
constexpr double kMaxRatio = 8;        // one response counts as no slower than this
constexpr Duration kMemory{4000};      // what is not confirmed is forgotten
constexpr double kMinSlowRatio = 1.5;  // times the median: the backend is slow, not all of them

}  // namespace

void SlowBackends::Record(SlownessState& state, double relative_latency, TimePoint now) {
  const double relative = std::min(kMaxRatio, relative_latency);
  // The rarer the responses of a backend, the more each tells.
  const double gain = std::clamp((now - state.last_response_at) / kMemory, kMinGain, kMaxGain);
  state.ratio += gain * (relative - state.ratio);
  state.last_response_at = now;
}

void SlowBackends::Decay(SlownessState& state, double elapsed_ms) {
  state.ratio += std::min(1.0, elapsed_ms / kMemory.count()) * (1 - state.ratio);
}

bool SlowBackends::IsSlow(const SlownessState& state, bool many_warming_up) const {
  return !many_warming_up && state.ratio > kMinSlowRatio * median_;
}

void SlowBackends::Update(const std::vector<Backend*>& active, bool many_warming_up) {
  // The median, so that fewer than half of the backends can't pass for the usual ones.
  std::vector<double> ratios;
  ratios.reserve(active.size());
  for (const Backend* backend : active) ratios.push_back(backend->slowness.ratio);
  const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  median_ = ratios.empty() ? 1 : std::max(1.0, *middle);
  slow_.clear();
  for (Backend* backend : active) {
    if (IsSlow(backend->slowness, many_warming_up)) slow_.push_back(backend);
  }
}

}  // namespace badgerbridge::balancer
