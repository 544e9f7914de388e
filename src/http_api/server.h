// SPDX-License-Identifier: Apache-2.0
//
// An HTTP/1.1 server (RFC 9112) for control APIs, on the caller's io_context. The number of connections, the
// sizes of header and body, and the time for each request are limited. At the connection limit, a connection
// that has sent no complete request, else an idle one, is closed before the next one is accepted.
#ifndef BADGERBRIDGE_HTTP_API_SERVER_H_
#define BADGERBRIDGE_HTTP_API_SERVER_H_

#include <sys/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http_api/message.h"

namespace badgerbridge::http_api {

/// Handles one request. Called on the io_context, interleaved for several connections; an exception results
/// in status 500.
using Handler = std::function<boost::asio::awaitable<Response>(Request, Peer)>;

/// The limits of a server.
struct ServerLimits {
  std::size_t max_connections = 8;                  ///< open at a time
  std::size_t max_header_bytes = 8 << 10;           ///< of a request
  std::size_t max_body_bytes = 64 << 10;            ///< of a request
  std::chrono::milliseconds request_timeout{2000};  ///< to receive a request, and to send its response
  std::chrono::milliseconds idle_timeout{30000};    ///< between two requests
  /// A connection that was active less than this ago is not evicted for a new one, so that its request can
  /// arrive. UnixServer uses at most 20 ms, because its clients' first bytes arrive at once.
  std::chrono::milliseconds min_idle{250};
};

/// A server on a Unix domain socket of mode 0600. A peer's uid (SO_PEERCRED, unix(7)) must be this process's
/// own, root's or one of `allowed_uids`; each such peer is an admin. Other peers' connections are closed
/// without a response.
class UnixServer {
 public:
  /// Listens on `path`. Throws std::runtime_error with a one-line message on failure. A stale socket is
  /// replaced; a socket that still accepts connections is an error.
  UnixServer(boost::asio::io_context& io, const std::string& path, std::vector<uid_t> allowed_uids,
             ServerLimits limits, Handler handler);
  /// Closes the connections and removes the socket file.
  ~UnixServer();
  UnixServer(const UnixServer&) = delete;
  UnixServer& operator=(const UnixServer&) = delete;

  /// The number of open connections.
  std::size_t connections() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_SERVER_H_
