// SPDX-License-Identifier: Apache-2.0
//
// The clock of a proxy.
#ifndef BADGERBRIDGE_PROXY_CLOCK_H_
#define BADGERBRIDGE_PROXY_CLOCK_H_

#include <chrono>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// Reads as Unix time in milliseconds, so that discovery's start times need no more than a cast, but is
/// driven by the steady clock, so that the decision module's time never jumps.
class ProxyClock {
 public:
  /// The clock of timers.
  using Steady = std::chrono::steady_clock;

  /// The current time.
  TimePoint Now() const { return Epoch() + Duration(Steady::now() - steady_); }
  /// A time for a timer; rounded up, since a timer must not expire before it.
  Steady::time_point ToSteady(TimePoint at) const {
    return steady_ + std::chrono::ceil<Steady::duration>(at - Epoch());
  }

 private:
  TimePoint Epoch() const { return TimePoint(unix_); }

  Duration unix_{std::chrono::system_clock::now().time_since_epoch()};
  Steady::time_point steady_ = Steady::now();
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_CLOCK_H_
