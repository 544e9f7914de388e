// SPDX-License-Identifier: Apache-2.0
//
// Time limits and sizes of the listener for clients.
#ifndef BADGERBRIDGE_PROXY_LISTENER_LIMITS_H_
#define BADGERBRIDGE_PROXY_LISTENER_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace badgerbridge::proxy {

/// Limits of a listener. The times of a stop count from Listener::Stop, which a signal may reach 0.4 s late;
/// the process may be killed 0.7 s after the longest deadline that began at that signal.
struct ListenerLimits {
  /// Until no new connection is accepted; the front of the clients goes on for up to 0.4 s.
  std::chrono::milliseconds accept_grace{500};
  /// Until no further request is awaited on open connections.
  std::chrono::milliseconds serving{700};
  /// Beyond the longest deadline: until all requests are answered.
  std::chrono::milliseconds last_answer{300};
  /// For connections whose handshake has begun when no new handshake is accepted.
  std::chrono::milliseconds handshake{20};
  /// For a client to read its last answer and to close its side.
  std::chrono::milliseconds linger{1000};
  /// Ids of recent requests that are kept to reject duplicates.
  std::size_t max_recent_ids = 32 << 10;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_LISTENER_LIMITS_H_
