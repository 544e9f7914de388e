// SPDX-License-Identifier: Apache-2.0
/// \file
/// Polls discovery for the endpoint list where it must be asked for.
#ifndef BADGERBRIDGE_BALANCER_ENDPOINT_POLLER_H_
#define BADGERBRIDGE_BALANCER_ENDPOINT_POLLER_H_

#include "badgerbridge/balancer.h"
#include "balancer/random.h"
#include "balancer/time_limits.h"

namespace badgerbridge::balancer {

/// When the next call to discovery is due. Where lists are pushed, none ever is.
class EndpointPoller {
 public:
  /// Polls if the settings say so.
  explicit EndpointPoller(const Settings& settings);

  /// Takes in the outcome of a call, or what the proxy started with.
  void RecordUpdate(EndpointListKind kind, TimePoint now, Random& random);

  /// Whether a call is due; if so, it counts as made.
  bool TakeDuePoll(TimePoint now) {
    if (now < next_at_) return false;
    next_at_ = now + max_interval_ / 2;  // a response may never come
    return true;
  }

  /// When the next call is due, or kNever.
  TimePoint next_at() const { return next_at_; }

 private:
  bool enabled_;
  Duration max_interval_;  // within which the settings want a call
  Duration backoff_{0};
  TimePoint next_at_ = kNever;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ENDPOINT_POLLER_H_
