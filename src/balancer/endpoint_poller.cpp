// SPDX-License-Identifier: Apache-2.0
#include "balancer/endpoint_poller.h"

#include <algorithm>

namespace badgerbridge::balancer {
namespace {

constexpr Duration kMaxBackoff{2000};  // after failed calls: a change must be learnt of within 6 s
constexpr int kMaxBackoffParts = 4;    // and no more than one of so many parts of the maximum interval
constexpr int kMinBackoffParts = 20;   // nor less than one of so many

}  // namespace

EndpointPoller::EndpointPoller(const Settings& settings)
    : enabled_(settings.polls_endpoint_list), max_interval_(settings.max_poll_interval) {}

void EndpointPoller::RecordUpdate(EndpointListKind kind, TimePoint now, Random& random) {
  if (!enabled_) return;
  if (kind == EndpointListKind::kCached) {
    next_at_ = now;  // the proxy has just started: nothing is subscribed yet
  } else if (kind == EndpointListKind::kFailed) {
    backoff_ = std::min({max_interval_ / kMaxBackoffParts, kMaxBackoff,
                         std::max(max_interval_ / kMinBackoffParts, backoff_ * 2)});
    next_at_ = now + backoff_ * (0.5 + 0.5 * random.Unit());
  } else {
    backoff_ = Duration(0);
    next_at_ = kNever;
  }
}

}  // namespace badgerbridge::balancer
