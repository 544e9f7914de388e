// SPDX-License-Identifier: Apache-2.0
//
// A steady clock that moves only when a test moves it, for a single-threaded test with one io_context: code
// under test waits without the test waiting, and what happens does not depend on how busy the machine is.
#ifndef BADGERBRIDGE_TESTS_SUPPORT_VIRTUAL_CLOCK_H_
#define BADGERBRIDGE_TESTS_SUPPORT_VIRTUAL_CLOCK_H_

#include <chrono>

namespace badgerbridge::testing {

// While one exists, std::chrono::steady_clock stands still between calls of Advance, and Asio's timers expire
// by it. It starts at the real time. Construct it before the io_context whose timers it is to drive, and
// destroy it after.
//
// How: this program's own clock_gettime and timerfd_settime take the place of the C library's. Asio keeps one
// timerfd for all timers of an io_context; it is armed only when virtual time has reached its expiry.
class VirtualClock {
 public:
  using Nanoseconds = std::chrono::nanoseconds;

  VirtualClock();
  ~VirtualClock();
  VirtualClock(const VirtualClock&) = delete;
  VirtualClock& operator=(const VirtualClock&) = delete;

  void Advance(Nanoseconds by);
  // To the next expiry that Asio waits for, by `most` at most. The expiry may be that of a timer cancelled
  // since.
  void AdvanceToNextTimer(Nanoseconds most);
};

}  // namespace badgerbridge::testing

#endif  // BADGERBRIDGE_TESTS_SUPPORT_VIRTUAL_CLOCK_H_
