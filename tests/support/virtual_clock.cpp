// SPDX-License-Identifier: Apache-2.0
#include "support/virtual_clock.h"

#include <poll.h>
#include <sys/syscall.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

nanoseconds ToNanoseconds(const timespec& time) { return seconds(time.tv_sec) + nanoseconds(time.tv_nsec); }

timespec ToTimespec(nanoseconds time) {
  const auto whole = std::chrono::duration_cast<seconds>(time);
  return {static_cast<time_t>(whole.count()), static_cast<long>((time - whole).count())};
}

// Asio's timerfd.
struct ArmedTimer {
  int descriptor = -1;
  // In virtual time; none: disarmed, or armed for real because it has expired.
  std::optional<nanoseconds> expiry;
};

std::optional<nanoseconds> virtual_now;  // none: the real clock counts
ArmedTimer timer;

int RealTimerfdSettime(int descriptor, int flags, const itimerspec* setting, itimerspec* previous) {
  return static_cast<int>(syscall(SYS_timerfd_settime, descriptor, flags, setting, previous));
}

// The kernel expires even a timer of 1 ns a little later, from an interrupt.
void AwaitExpiry(int descriptor) {
  pollfd expired{descriptor, POLLIN, 0};
  while (poll(&expired, 1, -1) != 1) {
  }
}

void ExpireIfDue() {
  if (!timer.expiry || *timer.expiry > *virtual_now) return;
  timer.expiry.reset();
  itimerspec at_once{};
  at_once.it_value.tv_nsec = 1;
  if (RealTimerfdSettime(timer.descriptor, 0, &at_once, nullptr) != 0) std::abort();
  AwaitExpiry(timer.descriptor);
}

}  // namespace

extern "C" int clock_gettime(clockid_t id, timespec* now) noexcept {
  if (!virtual_now || id != CLOCK_MONOTONIC) return static_cast<int>(syscall(SYS_clock_gettime, id, now));
  *now = ToTimespec(*virtual_now);
  return 0;
}

extern "C" int timerfd_settime(int descriptor, int flags, const itimerspec* setting,
                               itimerspec* previous) noexcept {
  if (!virtual_now) return RealTimerfdSettime(descriptor, flags, setting, previous);
  const nanoseconds wait = ToNanoseconds(setting->it_value);
  timer = {descriptor, std::nullopt};
  // Asio asks for a time long past where a timer has expired already.
  const bool expired = (flags & TFD_TIMER_ABSTIME) != 0;
  if (expired) {
    const int result = RealTimerfdSettime(descriptor, flags, setting, previous);
    if (result == 0) AwaitExpiry(descriptor);
    return result;
  }
  if (wait > nanoseconds(0)) timer.expiry = *virtual_now + wait;
  const itimerspec disarmed{};
  return RealTimerfdSettime(descriptor, 0, &disarmed, previous);
}

namespace badgerbridge::testing {

VirtualClock::VirtualClock() {
  if (virtual_now) std::abort();
  timer = {};
  virtual_now = std::chrono::steady_clock::now().time_since_epoch();
}

VirtualClock::~VirtualClock() { virtual_now.reset(); }

void VirtualClock::Advance(Nanoseconds time) {
  *virtual_now += time;
  ExpireIfDue();
}

void VirtualClock::AdvanceToNextTimer(Nanoseconds max_time) {
  const Nanoseconds wait = timer.expiry ? *timer.expiry - *virtual_now : max_time;
  Advance(std::clamp(wait, Nanoseconds(0), max_time));
}

}  // namespace badgerbridge::testing
