// SPDX-License-Identifier: Apache-2.0
#include "balancer/slow_backends.h"

#include <algorithm>
#include <cstddef>

#include "balancer/backend.h"

namespace badgerbridge::balancer {
namespace {

constexpr double kMinGain = 0.08;             // weight of a response at a high rate
constexpr double kMaxGain = 0.3;              // weight of a rare response: three outweigh the earlier ratio
constexpr double kMaxRecordedRatio = 8;       // limits the effect of one response
constexpr Duration kSlownessDecayTime{4000};  // ratios return to 1 without new responses
constexpr double kMinSlowRatio = 1.5;         // relative to the median

}  // namespace

void SlowBackends::Record(SlownessState& state, double relative_latency, TimePoint now) {
  const double relative = std::min(kMaxRecordedRatio, relative_latency);
  // The rarer the responses of a backend, the higher the weight of each.
  const double gain = std::clamp((now - state.last_response_at) / kSlownessDecayTime, kMinGain, kMaxGain);
  state.ratio += gain * (relative - state.ratio);
  state.last_response_at = now;
}

void SlowBackends::Decay(SlownessState& state, double elapsed_ms) {
  state.ratio += std::min(1.0, elapsed_ms / kSlownessDecayTime.count()) * (1 - state.ratio);
}

bool SlowBackends::IsSlow(const SlownessState& state, bool many_warming_up) const {
  return !many_warming_up && state.ratio > kMinSlowRatio * median_;
}

void SlowBackends::Update(const std::vector<Backend*>& active, bool many_warming_up) {
  // The median is not affected by slow backends as long as they are fewer than half.
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
