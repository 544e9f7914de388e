// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/when_done.h"

#include <chrono>
#include <utility>

namespace badgerbridge::multiprocess {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

}  // namespace

void WhenDone::Call(std::function<bool()> is_done, std::function<void()> then) {
  if (is_done()) return then();
  timer_.expires_after(kPollInterval);
  timer_.async_wait([this, is_done = std::move(is_done),
                     then = std::move(then)](const boost::system::error_code& error) mutable {
    if (!error) Call(std::move(is_done), std::move(then));
  });
}

}  // namespace badgerbridge::multiprocess
