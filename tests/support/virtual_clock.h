// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A steady clock that moves only when a test moves it, for a single-threaded test with one io_context: code
/// under test waits without the test waiting, and what happens does not depend on how busy the machine is.
#ifndef BADGERBRIDGE_TESTS_SUPPORT_VIRTUAL_CLOCK_H_
#define BADGERBRIDGE_TESTS_SUPPORT_VIRTUAL_CLOCK_H_

#include <chrono>

namespace badgerbridge::testing {

/// While one exists, std::chrono::steady_clock stands still between calls of Advance, and Asio's timers
/// expire by it. It starts at the real time. Construct it before the io_context whose timers it is to drive,
/// and destroy it after. At most one exists at a time.
///
/// How: this program's own clock_gettime and timerfd_settime take the place of the C library's. Asio keeps
/// one timerfd for all timers of an io_context; it is armed only when virtual time has reached its expiry.
class VirtualClock {
 public:
  /// The unit of the clock.
  using Nanoseconds = std::chrono::nanoseconds;

  /// Stops the clock.
  VirtualClock();
  /// From here on the real clock counts.
  ~VirtualClock();
  VirtualClock(const VirtualClock&) = delete;
  VirtualClock& operator=(const VirtualClock&) = delete;

  /// Moves the clock forward.
  void Advance(Nanoseconds time);
  /// Moves the clock to the next expiry that Asio waits for, by `max_time` at most. The expiry may be that of
  /// a timer cancelled since.
  void AdvanceToNextTimer(Nanoseconds max_time);
};

}  // namespace badgerbridge::testing

#endif  // BADGERBRIDGE_TESTS_SUPPORT_VIRTUAL_CLOCK_H_
