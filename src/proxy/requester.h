// SPDX-License-Identifier: Apache-2.0
//
// The receiver of a request's answer, as the proxy sees it: a client's connection.
#ifndef BADGERBRIDGE_PROXY_REQUESTER_H_
#define BADGERBRIDGE_PROXY_REQUESTER_H_

#include <string>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// The final answer to a request.
struct Answer {
  unsigned status = 500;     ///< of HTTP
  std::string body;          ///< may be empty
  std::string content_type;  ///< empty: no Content-Type
  Duration retry_after{0};   ///< of Retry-After; 0: none
};

/// Receives the answer to one request at a time.
class Requester {
 public:
  virtual ~Requester() = default;

  /// Takes the final answer. Called at most once for each request, possibly from within Proxy::Accept.
  virtual void OnAnswer(Answer answer) noexcept = 0;

  /// Asks the connection itself whether the client has closed or reset it, whatever events of it are still
  /// unhandled. If so, the caller does not begin an attempt; Proxy::ClientDisconnected follows from the event
  /// loop.
  virtual bool HasLeft() noexcept = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_REQUESTER_H_
