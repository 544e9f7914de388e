// SPDX-License-Identifier: Apache-2.0
/// \file
/// The warm part of the total capacity of all backends.
#ifndef BADGERBRIDGE_BALANCER_WARM_CAPACITY_H_
#define BADGERBRIDGE_BALANCER_WARM_CAPACITY_H_

#include <cstddef>
#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/backend_list.h"
#include "balancer/slow_start.h"

namespace badgerbridge::balancer {

/// Sums up the capacity shares of the ready backends during slow start.
class WarmCapacity {
 public:
  /// Tracks a warming-up backend until it is warm.
  void Track(BackendId id) { warming_up_.insert(id); }

  /// Whether any backend is tracked.
  bool AnyWarmingUp() const { return !warming_up_.empty(); }

  /// Recomputes the capacity; `ready_backends` is the number of backends on the ring.
  void Update(const BackendList& backends, std::size_t ready_backends, const SlowStart& slow_start,
              TimePoint now);

  /// Capacity in units of a warm backend, as of the last update.
  double warm_backends() const { return warm_backends_; }

  /// Whether more than 5 % of the capacity is still missing. Many backends are slow then and have less
  /// capacity together, so slowness is not attributed to single backends.
  bool ManyWarmingUp() const { return warm_backends_ < kMinWarmShare * static_cast<double>(ready_backends_); }

 private:
  static constexpr double kMinWarmShare = 0.95;  // below, many backends are warming up

  std::set<BackendId> warming_up_;
  std::size_t ready_backends_ = 0;
  double warm_backends_ = 0;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_WARM_CAPACITY_H_
