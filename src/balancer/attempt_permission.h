// SPDX-License-Identifier: Apache-2.0
/// \file
/// Which further attempts and final answers the idempotency of a request permits.
#ifndef BADGERBRIDGE_BALANCER_ATTEMPT_PERMISSION_H_
#define BADGERBRIDGE_BALANCER_ATTEMPT_PERMISSION_H_

#include <optional>

#include "badgerbridge/balancer.h"
#include "balancer/request.h"

namespace badgerbridge::balancer {

/// The permitted actions on a request.
struct AttemptPermission {
  /// An attempt may be dispatched.
  bool may_dispatch = false;
  /// The request may be rejected: no backend has processed it, or processing it again is safe.
  bool may_reject = false;
  /// If set: only backends that share deduplication with this group are permitted.
  std::optional<DeduplicationGroup> deduplicated_with;
  /// The attempt must start before this time, while the backends remember the idempotency key.
  TimePoint begin_before = TimePoint::max();
};

/// Whether an outcome proves that the backend did not process the attempt.
bool ProvesNotRun(Outcome outcome);

/// The permission for a request at `now`; all decisions on attempts and answers use it.
AttemptPermission PermissionFor(const Request& request, const Settings& settings, TimePoint now);

/// Whether `backend` drops a retry of a request that a backend of the group `first` may have processed.
bool SharesDeduplication(DeduplicationScope scope, const DeduplicationGroup& first,
                         const BackendEntry& backend);

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ATTEMPT_PERMISSION_H_
