// SPDX-License-Identifier: Apache-2.0
/// \file
/// Detects backends that respond more slowly than most.
#ifndef BADGERBRIDGE_BALANCER_SLOW_BACKENDS_H_
#define BADGERBRIDGE_BALANCER_SLOW_BACKENDS_H_

#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

struct Backend;

/// Relative latency of one backend.
struct SlownessState {
  double ratio = 1;              ///< Its latency relative to the usual latency of such requests.
  TimePoint last_response_at{};  ///< When the latest latency was recorded.
};

/// The median latency ratio, and the backends far above it. Holds pointers to backends owned by BackendList.
class SlowBackends {
 public:
  /// Records the ratio of the latency of a response to the usual latency of such requests.
  static void Record(SlownessState& state, double relative_latency, TimePoint now);

  /// Decays the ratio towards 1; `elapsed_ms` is the time since the last call.
  static void Decay(SlownessState& state, double elapsed_ms);

  /// Whether a backend is much slower than most. Always false while `many_warming_up`: many backends are slow
  /// then, and single outliers cannot be told apart.
  bool IsSlow(const SlownessState& state, bool many_warming_up) const;

  /// Recomputes the median and the slow backends among `active`.
  void Update(const std::vector<Backend*>& active, bool many_warming_up);

  /// Slow backends as of the last update.
  const std::vector<Backend*>& slow() const { return slow_; }

  /// Median latency ratio as of the last update; at least 1.
  double median() const { return median_; }

 private:
  double median_ = 1;
  std::vector<Backend*> slow_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_SLOW_BACKENDS_H_
