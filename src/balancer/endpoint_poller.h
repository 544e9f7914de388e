// SPDX-License-Identifier: Apache-2.0
/// \file
/// Schedules polls of discovery for the endpoint list.
#ifndef BADGERBRIDGE_BALANCER_ENDPOINT_POLLER_H_
#define BADGERBRIDGE_BALANCER_ENDPOINT_POLLER_H_

#include "badgerbridge/balancer.h"
#include "balancer/random.h"
#include "balancer/time_limits.h"

namespace badgerbridge::balancer {

/// Determines when the next call to discovery is due: never if lists are pushed.
class EndpointPoller {
 public:
  /// Enabled by Settings::polls_endpoint_list.
  explicit EndpointPoller(const Settings& settings);

  /// Records the result of a call, or the cached list at the start of the proxy.
  void RecordUpdate(EndpointListKind kind, TimePoint now, Random& random);

  /// Whether a call is due; if so, the caller must make it, and the next one is scheduled.
  bool ConsumeDuePoll(TimePoint now) {
    if (now < next_at_) return false;
    next_at_ = now + max_interval_ / 2;  // in case there is no response
    return true;
  }

  /// When the next call is due, or kNever.
  TimePoint next_at() const { return next_at_; }

 private:
  bool enabled_;
  Duration max_interval_;  // between calls, from the settings
  Duration backoff_{0};
  TimePoint next_at_ = kNever;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ENDPOINT_POLLER_H_
