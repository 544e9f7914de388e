// SPDX-License-Identifier: Apache-2.0
//
// Tests the clock of a proxy.
#include "proxy/clock.h"

#include <gtest/gtest.h>

#include <chrono>

namespace badgerbridge::proxy::testing {
namespace {

// The proxy compares start times from discovery with its own clock. If the clock were off, a backend in slow
// start would count as warmed up.
TEST(ProxyClockTest, ReadsAsUnixTime) {
  const ProxyClock clock;
  const Duration unix_now(std::chrono::system_clock::now().time_since_epoch());
  EXPECT_NEAR((clock.Now().time_since_epoch() - unix_now).count(), 0, 2000);
  const TimePoint soon = clock.Now() + Duration(7.25);
  EXPECT_GE(clock.ToSteady(soon) - ProxyClock::Steady::now(), std::chrono::milliseconds(-2000));
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
