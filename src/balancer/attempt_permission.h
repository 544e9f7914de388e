// SPDX-License-Identifier: Apache-2.0
/// \file
/// Which further attempts and which final answers a request permits: the rules of idempotency.
#ifndef BADGERBRIDGE_BALANCER_ATTEMPT_PERMISSION_H_
#define BADGERBRIDGE_BALANCER_ATTEMPT_PERMISSION_H_

#include "badgerbridge/balancer.h"
#include "balancer/backend_list.h"
#include "balancer/request.h"

namespace badgerbridge::balancer {

/// What may be done with a request now.
struct AttemptPermission {
  /// An attempt may be dispatched.
  bool may_dispatch = false;
  /// It may be rejected: no backend has acted on it, or acting on it again is harmless.
  bool may_reject = false;
  /// If set: only backends that deduplicate with this one may be tried.
  const Backend* deduplicated_with = nullptr;
  /// The attempt must begin before the backends forget the idempotency key.
  TimePoint begin_before = TimePoint::max();
};

/// Whether an outcome proves that the backend did not act on the attempt.
bool ProvesNotRun(Outcome outcome);

/// Decides on a request; the one place that does. `backends` resolves the backend of its first attempt that
/// may have run.
AttemptPermission PermissionFor(const Request& request, const Settings& settings, const BackendList& backends,
                                TimePoint now);

/// Whether `backend` drops the retries of a request that `first` may have acted on.
bool SharesDeduplication(DeduplicationScope scope, const BackendEntry& first, const BackendEntry& backend);

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ATTEMPT_PERMISSION_H_
