// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/lag_watch.h"

#include <chrono>

#include "multiprocess/roles.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr std::chrono::milliseconds kEvery{5};
constexpr double kNoted = 5;  // ms; less is the timer's own

}  // namespace

LagWatch::LagWatch(boost::asio::io_context& io) : timer_(io) { Tick(); }

void LagWatch::Tick() {
  timer_.expires_after(kEvery);
  const double expected = NowMs() + static_cast<double>(kEvery.count());
  timer_.async_wait([this, expected](const boost::system::error_code& error) {
    if (error) return;
    const double now = NowMs();
    if (now - expected > kNoted) lags_.push_back(boost::json::array{expected, now});
    Tick();
  });
}

}  // namespace badgerbridge::multiprocess
