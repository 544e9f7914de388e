// SPDX-License-Identifier: Apache-2.0
/// \file
/// gRFC A50 outlier detection by failure percentage, evaluated at the end of each attempt.
#ifndef BADGERBRIDGE_BALANCER_OUTLIER_DETECTION_H_
#define BADGERBRIDGE_BALANCER_OUTLIER_DETECTION_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/random.h"
#include "balancer/time_limits.h"

namespace badgerbridge::balancer {

struct Backend;

/// Shortest interval (A50): long enough for the request volume at 2 requests/s.
constexpr Duration kMinOutlierInterval{2000};
/// request_volume of A50. It is low because a proxy sends few requests to each backend; 3 failures of 3
/// attempts are not a coincidence.
constexpr int kMinRequestVolume = 3;

/// Outlier detection state of one backend.
struct OutlierState {
  int successes = 0;            ///< Within the current interval.
  int failures = 0;             ///< Within the current interval.
  int ejection_multiplier = 0;  ///< A50's multiplier of the base ejection time.
  bool ejected = false;         ///< Whether it is out of service.
  TimePoint ejected_until{};    ///< End of the ejection; only valid if `ejected`.

  /// Attempts counted within the current interval.
  int attempts() const { return successes + failures; }

  /// Whether the backend has the request volume required for an ejection.
  bool HasRequestVolume() const { return attempts() >= kMinRequestVolume; }

  /// Counts an ended attempt.
  void Record(bool success) { ++(success ? successes : failures); }
};

/// Ejects backends whose failure percentage exceeds the threshold, and returns them to service.
class OutlierDetector {
 public:
  /// Evaluates a backend after an attempt was counted and returns whether it was ejected. `active` are the
  /// backends with recent attempts; `ready_backends` is the number of all backends that accept requests.
  bool EjectIfOutlier(Backend& backend, TimePoint now, const std::vector<Backend*>& active,
                      std::size_t ready_backends, Random& random);

  /// Ends the ejections that are due and returns the ids of these backends.
  std::vector<BackendId> UnejectDue(TimePoint now, const std::vector<Backend*>& active);

  /// Whether the current interval has ended.
  bool IntervalIsOver(TimePoint now) const { return now >= interval_ends_at_; }

  /// Starts a new interval. Within bounds, it is long enough for twice the request volume at each of
  /// `aperture` backends, given a total of `requests_per_ms`.
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
