// SPDX-License-Identifier: Apache-2.0
/// \file
/// How much of the backends' capacity is warmed up.
#ifndef BADGERBRIDGE_BALANCER_WARM_CAPACITY_H_
#define BADGERBRIDGE_BALANCER_WARM_CAPACITY_H_

#include <cstddef>
#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/backend_list.h"
#include "balancer/slow_start.h"

namespace badgerbridge::balancer {

/// The ready backends, weighed by the share of their capacity that slow start leaves them.
class WarmCapacity {
 public:
  /// Follows a backend that warms up until it is warm.
  void Track(BackendId id) { warming_up_.insert(id); }

  /// Whether any backend is followed.
  bool AnyWarmingUp() const { return !warming_up_.empty(); }

  /// Sums the capacity up anew; `ready_backends` is the number of those on the ring.
  void Update(const BackendList& backends, std::size_t ready_backends, const SlowStart& slow_start,
              TimePoint now);

  /// The capacity in warm backends, as of the last update.
  double warm_backends() const { return warm_backends_; }

  /// Whether more than a twentieth of the capacity is missing. Then backends are slow for all to know and can
  /// do less together, and nothing is blamed on single ones.
  bool ManyWarmingUp() const { return warm_backends_ < kMinWarmShare * static_cast<double>(ready_backends_); }

 private:
  static constexpr double kMinWarmShare = 0.95;  // of the ready backends

  std::set<BackendId> warming_up_;
  std::size_t ready_backends_ = 0;
  double warm_backends_ = 0;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_WARM_CAPACITY_H_
