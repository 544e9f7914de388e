// SPDX-License-Identifier: Apache-2.0
//
// Time limits and sizes of the client listener.
#ifndef BADGERBRIDGE_PROXY_LISTENER_LIMITS_H_
#define BADGERBRIDGE_PROXY_LISTENER_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace badgerbridge::proxy {

/// Limits of a listener. The times of a stop count from Listener::Stop, which may be called up to 0.4 s after
/// the signal. The process may be killed 0.7 s after the longest request deadline, counted from the signal.
struct ListenerLimits {
  /// How long new connections are still accepted. The load balancer in front of this proxy may keep opening
  /// them for up to 0.4 s.
  std::chrono::milliseconds accept_grace{500};
  /// How long further requests are still awaited on open connections.
  std::chrono::milliseconds serving{700};
  /// Time after the longest request deadline by which all requests are answered.
  std::chrono::milliseconds answer_margin{300};
  /// Time for TCP handshakes in progress to complete after new ones are stopped.
  std::chrono::milliseconds handshake{20};
  /// Time for a client to read its last answer and close its side of the connection.
  std::chrono::milliseconds linger{1000};
  /// Maximum number of recent request ids kept to reject duplicates.
  std::size_t max_recent_ids = 32 << 10;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_LISTENER_LIMITS_H_
