// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/capacity_estimator.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::zone_failover {
namespace {

constexpr double kMinWarmBackends = 0.5;  // below, the capacity of one backend is not learnt
constexpr double kMinObservedBackends = 1e-9;
constexpr double kMaxLeftShare = 0.05;  // of the backends that a zone had: below, they have left
constexpr double kObservedGain = 0.15;
constexpr double kMemoryHalfLifeMs = 600000;

}  // namespace

void CapacityEstimator::UpdateWarmBackends(double elapsed_ms, double warm_backends) {
  warm_backends_ = warm_backends;
  max_warm_backends_ =
      std::max(max_warm_backends_ * std::exp2(-elapsed_ms / kMemoryHalfLifeMs), warm_backends);
}

double CapacityEstimator::Learn(double elapsed_ms, const ZoneObservation& observation, bool members_lost) {
  const double served = observation.served;
  // Backends that leave take their capacity with them; those that come count like the others by their weight.
  if (capacity_per_backend_ > 0) observed_ = capacity_per_backend_ * observation.warm_backends;
  observed_backends_ = std::max(observation.warm_backends, kMinObservedBackends);
  const bool has_utilization = observation.utilization >= 0;
  if (has_utilization && observation.attempts >= kMinAttempts) {
    // Chance is large beside a small utilization: taken for kMinUtilization, it shows less than there is.
    const double full =
        std::max(served / std::max(kMinUtilization, observation.utilization), members_lost ? observed_ : 0);
    if (observation.utilization >= kMinUtilization || full > observed_)
      observed_ += observed_ == 0 ? full : kObservedGain * (full - observed_);
  } else if (!has_utilization) {
    observed_ = std::max(observed_ * std::exp2(-elapsed_ms / kMemoryHalfLifeMs), served);
  } else {
    observed_ = std::max(observed_, served);
  }
  if (observation.warm_backends >= kMinWarmBackends)
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
  return capacity_per_backend_ > 0 && warm_backends_ < kMaxLeftShare * max_warm_backends_;
}

}  // namespace badgerbridge::zone_failover
