// SPDX-License-Identifier: Apache-2.0
/// @file
/// Estimates how much work a zone can serve, from what it has served and how busy its backends report to be.
/// Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_CAPACITY_ESTIMATOR_H_
#define BADGERBRIDGE_ZONE_FAILOVER_CAPACITY_ESTIMATOR_H_

#include "zone_failover/zone_observer.h"

namespace badgerbridge::zone_failover {

/// How far beyond its observed capacity a zone may be sent where its backends report no utilization.
constexpr double kGrowthHeadroom = 1.25;
/// Below this utilization it says little about the capacity.
constexpr double kMinUtilization = 0.15;

/// The capacity of one zone, in work a ms. Keeps what one warm backend has shown while backends come and go.
class CapacityEstimator {
 public:
  /// Begins with a capacity that an earlier leader has observed.
  void Restore(double observed_capacity) { observed_ = observed_capacity; }
  /// Takes in how many warm backends the zone has; `elapsed_ms` since the last call.
  void UpdateWarmBackends(double elapsed_ms, double warm_backends);
  /// Learns from an observation and returns the limit that follows. Where members are lost, what they send is
  /// in no report, so the capacity does not fall.
  double Learn(double elapsed_ms, const ZoneObservation& observation, bool members_lost);
  /// For a zone that is not known well: raises the capacity to `capacity_per_backend` for each warm backend.
  /// Returns whether that was more than was known.
  bool RaiseTo(double capacity_per_backend);

  /// Work a ms that the zone has lately shown it can serve.
  double observed() const { return observed_; }
  /// Of `observed()`, as much as the warm backends that are still there can serve.
  double Available() const;
  /// Whether nearly all backends that have shown a capacity have left.
  bool BackendsHaveLeft() const;
  /// Weight of warm backends that the zone has now.
  double warm_backends() const { return warm_backends_; }
  /// The most weight of warm backends that the zone had lately.
  double max_warm_backends() const { return max_warm_backends_; }
  /// Weight of warm backends that has shown `observed()`.
  double observed_backends() const { return observed_backends_; }

 private:
  double observed_ = 0;
  double capacity_per_backend_ = 0;  // of one warm backend; 0: not known
  double observed_backends_ = 0;
  double warm_backends_ = 0;
  double max_warm_backends_ = 0;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_CAPACITY_ESTIMATOR_H_
