// SPDX-License-Identifier: Apache-2.0
//
// The clock of a proxy.
#include "proxy/clock.h"

#include <gtest/gtest.h>

#include <chrono>

namespace badgerbridge::proxy::testing {
namespace {

// A start some seconds before the proxy's own must be as old by the proxy's clock, or a backend in slow start
// passes for a warm one.
TEST(ProxyClockTest, ReadsAsUnixTime) {
  const ProxyClock clock;
  const Duration unix_now(std::chrono::system_clock::now().time_since_epoch());
  EXPECT_NEAR((clock.Now().time_since_epoch() - unix_now).count(), 0, 2000);
  const TimePoint soon = clock.Now() + Duration(7.25);
  EXPECT_GE(clock.ToSteady(soon) - ProxyClock::Steady::now(), std::chrono::milliseconds(-2000));
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
