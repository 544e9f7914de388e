// SPDX-License-Identifier: Apache-2.0
#include "balancer/attempt_permission.h"

#include <algorithm>
#include <cstddef>

namespace badgerbridge::balancer {
namespace {

// A retry must reach the backend before the deduplication window ends.
constexpr double kUsableShareOfWindow = 0.9;

}  // namespace

bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

AttemptPermission PermissionFor(const Request& request, const Settings& settings, TimePoint now) {
  AttemptPermission permission;
  if (request.finished || request.streaming) return permission;
  permission.may_dispatch = now < request.deadline &&
                            static_cast<int>(request.attempts.size()) < settings.max_attempts &&
                            request.OutstandingAttempts() == 0;
  permission.may_reject = true;
  const ClassSettings& request_class = settings.classes[static_cast<std::size_t>(request.request_class)];
  const auto first_run = std::find_if(request.attempts.begin(), request.attempts.end(),
                                      [](const Attempt& attempt) { return attempt.may_have_run; });
  if (first_run == request.attempts.end() || request_class.idempotency == Idempotency::kIdempotent)
    return permission;

  permission.may_reject = request_class.idempotency == Idempotency::kIdempotencyKey &&
                          request_class.deduplication_scope == DeduplicationScope::kAll;
  permission.begin_before = first_run->sent_at + request_class.deduplication_window * kUsableShareOfWindow;
  if (request_class.idempotency == Idempotency::kNotIdempotent || now >= permission.begin_before)
    permission.may_dispatch = false;
  if (permission.may_dispatch) permission.deduplicated_with = first_run->group;
  return permission;
}

bool SharesDeduplication(DeduplicationScope scope, const DeduplicationGroup& first,
                         const BackendEntry& backend) {
  switch (scope) {
    case DeduplicationScope::kAll:
      return true;
    case DeduplicationScope::kZone:
      return backend.zone == first.zone;
    case DeduplicationScope::kCell:
      return backend.cell == first.cell && backend.zone == first.zone;
  }
  return false;
}

}  // namespace badgerbridge::balancer
