// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/capacity_estimator.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::zone_failover {
namespace {

constexpr double kMinBackendsForEstimate = 0.5;
constexpr double kMinObservedBackends = 1e-9;
constexpr double kMinRemainingBackendShare = 0.05;
constexpr double kCapacitySmoothingFactor = 0.15;
constexpr double kObservationHalfLifeMs = 600000;

}  // namespace

void CapacityEstimator::UpdateWarmBackends(double elapsed_ms, double warm_backends) {
  warm_backends_ = warm_backends;
  max_warm_backends_ =
      std::max(max_warm_backends_ * std::exp2(-elapsed_ms / kObservationHalfLifeMs), warm_backends);
}

double CapacityEstimator::Update(double elapsed_ms, const ZoneObservation& observation, bool members_lost) {
  const double served = observation.served;
  // The capacity follows the weight of the warm backends as backends leave and join.
  if (capacity_per_backend_ > 0) observed_ = capacity_per_backend_ * observation.warm_backends;
  observed_backends_ = std::max(observation.warm_backends, kMinObservedBackends);
  const bool has_utilization = observation.utilization >= 0;
  if (has_utilization && observation.attempts >= kMinAttempts) {
    // A small utilization is mostly noise. Treating it as kMinUtilization underestimates the capacity.
    const double full_capacity =
        std::max(served / std::max(kMinUtilization, observation.utilization), members_lost ? observed_ : 0);
    if (observation.utilization >= kMinUtilization || full_capacity > observed_)
      observed_ += observed_ == 0 ? full_capacity : kCapacitySmoothingFactor * (full_capacity - observed_);
  } else if (!has_utilization) {
    observed_ = std::max(observed_ * std::exp2(-elapsed_ms / kObservationHalfLifeMs), served);
  } else {
    observed_ = std::max(observed_, served);
  }
  if (observation.warm_backends >= kMinBackendsForEstimate)
    capacity_per_backend_ = observed_ / observation.warm_backends;
  return has_utilization ? std::max(observed_, served) : kGrowthHeadroom * observed_;
}

bool CapacityEstimator::RaiseTo(double capacity_per_backend) {
  const double capacity = capacity_per_backend * warm_backends_;
  if (observed_ >= capacity) return false;
  observed_ = capacity;
  observed_backends_ = warm_backends_;
  capacity_per_backend_ = capacity_per_backend;
  return true;
}

double CapacityEstimator::Available() const {
  const double share = observed_backends_ > 0 ? std::min(1.0, warm_backends_ / observed_backends_) : 1;
  return observed_ * share;
}

bool CapacityEstimator::BackendsHaveLeft() const {
  return capacity_per_backend_ > 0 && warm_backends_ < kMinRemainingBackendShare * max_warm_backends_;
}

}  // namespace badgerbridge::zone_failover
