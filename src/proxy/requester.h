// SPDX-License-Identifier: Apache-2.0
//
// Interface through which the proxy answers a request; a client connection implements it.
#ifndef BADGERBRIDGE_PROXY_REQUESTER_H_
#define BADGERBRIDGE_PROXY_REQUESTER_H_

#include <string>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// The final answer to a request.
struct Answer {
  unsigned status = 500;       ///< HTTP status code
  std::string body;            ///< may be empty
  std::string content_type;    ///< empty for no Content-Type header
  Duration retry_after{0};     ///< value of Retry-After; 0 for no such header
  bool was_attempted = false;  ///< whether an attempt was passed to the backend pool
};

/// What a client's connection tells about the client.
enum class ClientState {
  kConnected,     ///< the client has not closed the connection
  kDisconnected,  ///< the client has closed or reset the connection
  kUnknown,       ///< the client sends so much that its close may be held back behind unread input
};

/// Receives the answer to one request at a time.
class Requester {
 public:
  virtual ~Requester() = default;

  /// Called with the final answer, at most once for each request, possibly from within Proxy::Accept.
  virtual void OnAnswer(Answer answer) noexcept = 0;

  /// Checks the socket for whether the client has closed or reset the connection, even if that event has not
  /// been handled yet. If so, the caller doesn't begin an attempt, and Proxy::ClientDisconnected follows from
  /// the event loop. ClientState::kUnknown lasts for a bounded amount of input; the caller checks again
  /// later.
  virtual ClientState CheckClient() noexcept = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_REQUESTER_H_
