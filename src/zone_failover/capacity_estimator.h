// SPDX-License-Identifier: Apache-2.0
/// @file
/// Estimates how much work a zone can serve from its served work and the utilization that its backends
/// report. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_CAPACITY_ESTIMATOR_H_
#define BADGERBRIDGE_ZONE_FAILOVER_CAPACITY_ESTIMATOR_H_

#include "zone_failover/zone_observer.h"

namespace badgerbridge::zone_failover {

/// Factor on the observed capacity that limits the load of a zone whose backends report no utilization.
constexpr double kGrowthHeadroom = 1.25;
/// A utilization below this value is too noisy for a reliable capacity estimate.
constexpr double kMinUtilization = 0.15;

/// The capacity of one zone, in work per ms. Keeps the capacity per warm backend, so that the estimate
/// follows the number of backends.
class CapacityEstimator {
 public:
  /// Starts from the capacity that an earlier leader observed.
  void Restore(double observed_capacity) { observed_ = observed_capacity; }
  /// Sets the weight of the zone's warm backends; `elapsed_ms` is the time since the last call.
  void UpdateWarmBackends(double elapsed_ms, double warm_backends);
  /// Updates the observed capacity and returns the resulting limit. While members are lost, no report
  /// contains their load, so the capacity estimated from the utilization does not fall.
  double Update(double elapsed_ms, const ZoneObservation& observation, bool members_lost);
  /// Raises the capacity to `capacity_per_backend` for each warm backend. Returns false if the observed
  /// capacity already was at least that.
  bool RaiseTo(double capacity_per_backend);

  /// Recently observed capacity, in work per ms.
  double observed() const { return observed_; }
  /// The part of `observed()` that the remaining warm backends can serve.
  double Available() const;
  /// True if nearly all backends of a zone with a known capacity have left the endpoint list.
  bool BackendsHaveLeft() const;
  /// Current weight of the zone's warm backends.
  double warm_backends() const { return warm_backends_; }
  /// Recent maximum of `warm_backends()`.
  double max_warm_backends() const { return max_warm_backends_; }
  /// Weight of the warm backends from which `observed()` was estimated.
  double observed_backends() const { return observed_backends_; }

 private:
  double observed_ = 0;
  double capacity_per_backend_ = 0;  // 0: not known
  double observed_backends_ = 0;
  double warm_backends_ = 0;
  double max_warm_backends_ = 0;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_CAPACITY_ESTIMATOR_H_
