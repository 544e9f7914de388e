// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/direct_client_behavior.h"

#include "multiprocess/random_draw.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr double kThreeRequestsShare = 0.1;
constexpr double kTwoRequestsShare = 0.2;
constexpr double kSingleWriteShare = 0.6;
constexpr double kDisconnectShare = 0.12;
constexpr double kDisconnectAtOnceShare = 0.5;
constexpr double kMaxDisconnectAfterMs = 300;
constexpr double kResetShare = 0.5;
constexpr double kPartRequestShare = 0.4;

constexpr double kCloseIdleShare = 0.1;
constexpr double kKeepAliveIdleShare = 0.45;
constexpr double kAnyIdleShare = 0.1;
// Around the 2.2 s after which a proxy closes an idle connection.
constexpr double kMinKeepAliveMs = 2100;
constexpr double kMaxKeepAliveMs = 2300;
constexpr double kMaxShortIdleMs = 120;

std::size_t DrawRequests(simulator::Random& random) {
  const double drawn = random.DrawUnit();
  if (drawn < kThreeRequestsShare) return 3;
  return drawn < kThreeRequestsShare + kTwoRequestsShare ? 2 : 1;
}

}  // namespace

PlannedExchange DrawExchange(simulator::Random& random, bool may_disconnect) {
  PlannedExchange exchange;
  exchange.requests = DrawRequests(random);
  exchange.is_single_write = random.DrawUnit() < kSingleWriteShare;
  if (random.DrawUnit() >= kDisconnectShare || !may_disconnect) return exchange;
  PlannedDisconnect disconnect;
  if (random.DrawUnit() >= kDisconnectAtOnceShare)
    disconnect.after_ms = DrawBetween(random, 0, kMaxDisconnectAfterMs);
  disconnect.is_reset = random.DrawUnit() < kResetShare;
  disconnect.leaves_part_request = random.DrawUnit() < kPartRequestShare;
  exchange.disconnect = disconnect;
  return exchange;
}

std::optional<double> DrawIdleTime(simulator::Random& random) {
  if (random.DrawUnit() < kCloseIdleShare) return std::nullopt;
  const double drawn = random.DrawUnit();
  if (drawn < kKeepAliveIdleShare) return DrawBetween(random, kMinKeepAliveMs, kMaxKeepAliveMs);
  if (drawn < kKeepAliveIdleShare + kAnyIdleShare) return DrawBetween(random, 0, kMinKeepAliveMs);
  return DrawBetween(random, 0, kMaxShortIdleMs);
}

}  // namespace badgerbridge::multiprocess
