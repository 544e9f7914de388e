// SPDX-License-Identifier: Apache-2.0
/// \file
/// Finds backends that respond, but slower than most.
#ifndef BADGERBRIDGE_BALANCER_SLOW_BACKENDS_H_
#define BADGERBRIDGE_BALANCER_SLOW_BACKENDS_H_

#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

struct Backend;

/// How slow the responses of one backend are. Per backend.
struct SlownessState {
  double ratio = 1;              ///< Latency of its responses over what the like takes elsewhere.
  TimePoint last_response_at{};  ///< When the newest latency was taken in.
};

/// The median slowness, and the backends that exceed it by far. Holds pointers to backends that the
/// BackendList owns.
class SlowBackends {
 public:
  /// Takes in the latency of a response over what is usual for the like.
  static void Record(SlownessState& state, double relative_latency, TimePoint now);

  /// Forgets part of what is not confirmed; `elapsed_ms` since the last call.
  static void Decay(SlownessState& state, double elapsed_ms);

  /// Whether a backend is much slower than most. None is while `many_warming_up`: then many are slow, and
  /// nothing can be blamed on single ones.
  bool IsSlow(const SlownessState& state, bool many_warming_up) const;

  /// Computes the median and the slow backends of `active` anew.
  void Update(const std::vector<Backend*>& active, bool many_warming_up);

  /// The slow backends as of the last update.
  const std::vector<Backend*>& slow() const { return slow_; }

  /// The median of the slowness, at least 1, as of the last update.
  double median() const { return median_; }

 private:
  double median_ = 1;
  std::vector<Backend*> slow_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_SLOW_BACKENDS_H_
