// SPDX-License-Identifier: Apache-2.0
//
// A monotonic clock that reads as Unix time.
#ifndef BADGERBRIDGE_PROXY_CLOCK_H_
#define BADGERBRIDGE_PROXY_CLOCK_H_

#include <chrono>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// Returns Unix time in milliseconds, so that start times from discovery can be used without conversion. The
/// system clock is read once, at construction; the steady clock advances the time from then on, so that the
/// decision module's time never jumps.
class ProxyClock {
 public:
  /// The clock that timers use.
  using Steady = std::chrono::steady_clock;

  /// The current time; never goes backwards.
  TimePoint Now() const { return Epoch() + Duration(Steady::now() - steady_); }
  /// Converts a time for use by a timer. Rounds up, since a timer must not expire before `at`.
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
