// SPDX-License-Identifier: Apache-2.0
#include "balancer/endpoint_poller.h"

#include <algorithm>

namespace badgerbridge::balancer {
namespace {

// Changes must arrive within 6 s after discovery has recovered from failed calls.
constexpr Duration kMaxBackoff{2000};
// The backoff is also bounded by fractions of the maximum poll interval.
constexpr int kMaxBackoffDivisor = 4;
constexpr int kMinBackoffDivisor = 20;

}  // namespace

EndpointPoller::EndpointPoller(const Settings& settings)
    : enabled_(settings.polls_endpoint_list), max_interval_(settings.max_poll_interval) {}

void EndpointPoller::RecordUpdate(EndpointListKind kind, TimePoint now, Random& random) {
  if (!enabled_) return;
  if (kind == EndpointListKind::kCached) {
    next_at_ = now;  // the proxy has just started and has no subscription yet
  } else if (kind == EndpointListKind::kFailed) {
    backoff_ = std::min({max_interval_ / kMaxBackoffDivisor, kMaxBackoff,
                         std::max(max_interval_ / kMinBackoffDivisor, backoff_ * 2)});
    next_at_ = now + backoff_ * (0.5 + 0.5 * random.Unit());
  } else {
    backoff_ = Duration(0);
    next_at_ = kNever;
  }
}

}  // namespace badgerbridge::balancer
