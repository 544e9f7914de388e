// SPDX-License-Identifier: Apache-2.0
#include "balancer/outlier_detection.h"

#include <algorithm>

#include "balancer/backend.h"

namespace badgerbridge::balancer {
namespace {

// Parameters of gRFC A50.
constexpr Duration kBaseEjectionTime{2000};  // as long as the shortest interval
constexpr Duration kMaxEjectionTime{16000};  // a recovered backend returns within this time
constexpr int kMinHosts = 2;                 // with the request volume
constexpr double kMinFailureShare = 0.4;     // well above random variation
constexpr double kMaxEjectionPercent = 50;   // the others must be able to carry the load
constexpr double kEnforcingPercent = 100;    // each detected outlier is ejected

// Totals of the backends with which one backend is compared.
struct Comparison {
  int with_volume = 0;  // backends with the request volume, including the compared one
  int ejected = 0;
  int other_failures = 0;  // of the other backends in service
  int other_attempts = 0;
};

Comparison CompareWithOthers(const Backend& backend, const std::vector<Backend*>& active) {
  Comparison comparison;
  for (const Backend* other : active) {
    if (!other->IsReady()) continue;
    const OutlierState& state = other->outlier;
    comparison.with_volume += state.HasRequestVolume() ? 1 : 0;
    comparison.ejected += state.ejected ? 1 : 0;
    if (other == &backend || state.ejected) continue;
    comparison.other_failures += state.failures;
    comparison.other_attempts += state.attempts();
  }
  return comparison;
}

// The threshold rises with the failure share of the other backends: to twice that share while it is small,
// and to 1 as it reaches 1. Backends that are all overloaded are thus not ejected together, while a backend
// that always fails is ejected whatever the others' share.
double FailureThreshold(const Comparison& comparison) {
  const double other_failure_share =
      comparison.other_attempts > 0
          ? static_cast<double>(comparison.other_failures) / comparison.other_attempts
          : 0;
  return std::max(kMinFailureShare, other_failure_share * (2 - other_failure_share));
}

}  // namespace

bool OutlierDetector::EjectIfOutlier(Backend& backend, TimePoint now, const std::vector<Backend*>& active,
                                     std::size_t ready_backends, Random& random) {
  OutlierState& state = backend.outlier;
  if (state.ejected || !state.HasRequestVolume()) return false;
  const Comparison comparison = CompareWithOthers(backend, active);
  if (comparison.with_volume < kMinHosts) return false;
  if (!(state.failures > FailureThreshold(comparison) * state.attempts())) return false;
  if (!(100.0 * comparison.ejected < kMaxEjectionPercent * static_cast<double>(ready_backends))) return false;
  if (!(100.0 * random.Unit() < kEnforcingPercent)) return false;
  ++state.ejection_multiplier;
  state.ejected = true;
  state.ejected_until = now + std::min(kBaseEjectionTime * state.ejection_multiplier,
                                       std::max(kBaseEjectionTime, kMaxEjectionTime));
  next_unejection_at_ = std::min(next_unejection_at_, state.ejected_until);
  return true;
}

std::vector<BackendId> OutlierDetector::UnejectDue(TimePoint now, const std::vector<Backend*>& active) {
  std::vector<BackendId> returned;
  next_unejection_at_ = kNever;
  for (Backend* backend : active) {
    OutlierState& state = backend->outlier;
    if (!state.ejected) continue;
    if (now < state.ejected_until) {
      next_unejection_at_ = std::min(next_unejection_at_, state.ejected_until);
      continue;
    }
    state.ejected = false;
    state.ejection_multiplier = std::max(0, state.ejection_multiplier - 1);
    returned.push_back(backend->endpoint.server);
  }
  return returned;
}

void OutlierDetector::EndInterval(TimePoint now, double requests_per_ms, double aperture,
                                  const std::vector<Backend*>& active) {
  const double needed = requests_per_ms > 0 ? 2 * kMinRequestVolume * aperture / requests_per_ms : 0;
  interval_ends_at_ = now + std::clamp(Duration(needed), kMinOutlierInterval, kMaxEjectionTime / 2);
  for (Backend* backend : active) {
    OutlierState& state = backend->outlier;
    state.successes = 0;
    state.failures = 0;
    if (!state.ejected) state.ejection_multiplier = std::max(0, state.ejection_multiplier - 1);
  }
}

}  // namespace badgerbridge::balancer
