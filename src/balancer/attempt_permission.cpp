// SPDX-License-Identifier: Apache-2.0
#include "balancer/attempt_permission.h"

#include <algorithm>
#include <cstddef>

namespace fordlb {
namespace {

constexpr double kWindowMargin = 0.9;  // of the window in which a keyed retry is dropped

}  // namespace

bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kFull || outcome == Outcome::kConnectFailed || outcome == Outcome::kMoot;
}

AttemptPermission PermissionFor(const Request& request, const Settings& settings, const BackendList& backends,
                                TimePoint now) {
  AttemptPermission permission;
  if (request.finished || request.streaming) return permission;
  permission.may_dispatch = now < request.deadline &&
                            static_cast<int>(request.attempts.size()) < settings.max_attempts &&
                            request.OutstandingAttempts() == 0;
  permission.may_reject = true;
  const ClassSettings& request_class = settings.classes[static_cast<std::size_t>(request.request_class)];
  const auto first_run = std::find_if(request.attempts.begin(), request.attempts.end(),
                                      [](const Attempt& attempt) { return attempt.may_have_run; });
  if (first_run == request.attempts.end() || request_class.effect == Effect::kSafe) return permission;

  permission.may_reject = request_class.effect == Effect::kKeyed && request_class.group == Group::kAll;
  permission.begin_before = first_run->sent_at + request_class.window * kWindowMargin;
  const Backend* const first_backend = backends.Find(first_run->backend);
  if (request_class.effect == Effect::kUnsafe || now >= permission.begin_before || first_backend == nullptr) {
    permission.may_dispatch = false;
  }
  if (permission.may_dispatch) permission.deduplicated_with = first_backend;
  return permission;
}

bool SharesDeduplication(Group scope, const ServerEntry& first, const ServerEntry& backend) {
  switch (scope) {
    case Group::kAll:
      return true;
    case Group::kZone:
      return backend.zone == first.zone;
    case Group::kCell:
      return backend.cell == first.cell && backend.zone == first.zone;
  }
  return false;
}

}  // namespace fordlb
