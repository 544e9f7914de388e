// SPDX-License-Identifier: Apache-2.0
/// \file
/// Selects the backend for an attempt.
#ifndef BADGERBRIDGE_BALANCER_SELECTION_H_
#define BADGERBRIDGE_BALANCER_SELECTION_H_

#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/aperture.h"
#include "balancer/attempt_permission.h"
#include "balancer/backend.h"
#include "balancer/random.h"
#include "balancer/request.h"
#include "balancer/request_stats.h"
#include "balancer/slow_start.h"
#include "balancer/zone_quota.h"

namespace badgerbridge::balancer {

/// Result of a selection.
struct Selection {
  /// Selected backend; null: none is available now.
  Backend* backend = nullptr;
  /// The first backend skipped because its slow-start budget is exhausted; null: none.
  const Backend* over_slow_start_budget = nullptr;
};

/// Selects the backend of the aperture with the least estimated work of this proxy in flight; ties are broken
/// at random.
///
/// Exceptions:
/// - For a backend in another zone, the cost of crossing zones is added as work.
/// - With key affinity, the work saved by a backend that was sent the key recently is deducted.
/// - Backends over their slow-start budget, or in a zone over its quota, are skipped.
/// - Backends that the request has tried come last.
/// - If no permitted backend is in service, an ejected one is selected, so that ejection never causes a
///   rejection.
class BackendSelector {
 public:
  /// Keeps references to all arguments, which must outlive it.
  BackendSelector(const Settings& settings, const RequestStats& requests, const Aperture& aperture,
                  SlowStart& slow_start, ZoneQuotaBuckets& zone_quotas, Random& random)
      : settings_(settings),
        requests_(requests),
        aperture_(aperture),
        slow_start_(slow_start),
        zone_quotas_(zone_quotas),
        random_(random) {}

  /// Selects a backend for an attempt of `request` within `permission`. `active` are the backends with recent
  /// attempts.
  Selection Select(const Request& request, const AttemptPermission& permission,
                   const std::vector<Backend*>& active, TimePoint now);

 private:
  // The best backend so far.
  struct Candidate {
    Backend* backend = nullptr;
    int rank = 0;  // the lowest rank takes precedence over scores
    int ties = 0;  // backends with this rank and score
    double score = 0;
  };

  bool AwaitsResponse(const Request& request, const Backend& backend, TimePoint now) const;
  double Score(const Request& request, const Backend& backend, TimePoint now) const;
  void Consider(const Request& request, Backend& backend, bool tried, TimePoint now, Candidate& best);

  const Settings& settings_;
  const RequestStats& requests_;
  const Aperture& aperture_;
  SlowStart& slow_start_;
  ZoneQuotaBuckets& zone_quotas_;
  Random& random_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_SELECTION_H_
