// SPDX-License-Identifier: Apache-2.0
#include "agent/change_signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace badgerbridge::agent {

namespace asio = boost::asio;

asio::awaitable<void> ChangeSignal::Wait(std::chrono::milliseconds max_wait) {
  const auto now = std::chrono::steady_clock::now();
  const bool has_sooner_expiry = timer_.expiry() > now && timer_.expiry() <= now + max_wait;
  if (!has_sooner_expiry) timer_.expires_after(max_wait);
  boost::system::error_code ignored;
  co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace badgerbridge::agent
