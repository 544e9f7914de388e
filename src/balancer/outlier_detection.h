// SPDX-License-Identifier: Apache-2.0
/// \file
/// gRFC A50 outlier detection by failure percentage, evaluated at each response.
#ifndef BADGERBRIDGE_BALANCER_OUTLIER_DETECTION_H_
#define BADGERBRIDGE_BALANCER_OUTLIER_DETECTION_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/random.h"
#include "balancer/time_limits.h"

namespace badgerbridge::balancer {

struct Backend;

/// A50's interval at its shortest: long enough for the request volume at 2 requests/s.
constexpr Duration kMinOutlierInterval{2000};
/// A50's request_volume: a proxy sends few requests to one backend; 3 of 3 failing is no chance.
constexpr int kMinRequestVolume = 3;

/// What outlier detection holds of one backend.
struct OutlierState {
  int successes = 0;            ///< Within the current interval.
  int failures = 0;             ///< Within the current interval.
  int ejection_multiplier = 0;  ///< A50's multiplier of the base ejection time.
  bool ejected = false;         ///< Out of service.
  TimePoint ejected_until{};    ///< While ejected: when it returns to service.

  /// Attempts that have ended within the current interval.
  int attempts() const { return successes + failures; }

  /// Whether the backend has the request volume that a verdict needs.
  bool HasRequestVolume() const { return attempts() >= kMinRequestVolume; }

  /// Counts the end of an attempt.
  void Record(bool success) { ++(success ? successes : failures); }
};

/// Ejects backends whose failure percentage exceeds the threshold, and returns them to service.
class OutlierDetector {
 public:
  /// Tests a backend in service that has just had an attempt counted. `active`: the backends that this proxy
  /// has dealt with lately; `ready_backends`: all that take requests. Returns whether it is ejected by this.
  bool EjectIfOutlier(Backend& backend, TimePoint now, const std::vector<Backend*>& active,
                      std::size_t ready_backends, Random& random);

  /// Returns the backends whose ejection is over to service, and gives their ids.
  std::vector<BackendId> UnejectDue(TimePoint now, const std::vector<Backend*>& active);

  /// Whether the current interval has ended.
  bool IntervalIsOver(TimePoint now) const { return now >= interval_ends_at_; }

  /// Starts a new interval. It is long enough for twice the request volume at each backend of the aperture:
  /// `requests_per_ms` over `aperture` backends.
  void EndInterval(TimePoint now, double requests_per_ms, double aperture,
                   const std::vector<Backend*>& active);

  /// When the next backend returns to service, or kNever.
  TimePoint next_unejection_at() const { return next_unejection_at_; }

 private:
  TimePoint next_unejection_at_ = kNever;
  TimePoint interval_ends_at_{};
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_OUTLIER_DETECTION_H_
