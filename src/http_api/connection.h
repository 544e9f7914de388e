// SPDX-License-Identifier: Apache-2.0
//
// The open connections of a server, and the choice of an idle one to evict.
#ifndef BADGERBRIDGE_HTTP_API_CONNECTION_H_
#define BADGERBRIDGE_HTTP_API_CONNECTION_H_

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>

namespace badgerbridge::http_api::detail {

/// The server's state of one open connection. Used only on the server's io_context.
struct Connection {
  /// Closes the connection, which cancels its pending operations.
  std::function<void()> close;
  /// Whether the socket has received bytes that are not read yet.
  std::function<bool()> has_unread_bytes = [] { return false; };
  /// When it was opened, or when it last completed reading a request or writing a response.
  std::chrono::steady_clock::time_point last_activity_at = std::chrono::steady_clock::now();
  /// Whether the client has sent a complete request.
  bool has_sent_request = false;
  /// Whether a request is being handled or its response written.
  bool is_busy = false;
};

/// In the order in which they were accepted, oldest first.
using Connections = std::list<std::shared_ptr<Connection>>;

/// Whether the socket has received bytes that are not read yet.
template <typename Socket>
bool HasUnreadBytes(const Socket& socket) {
  boost::system::error_code ignored;
  return socket.available(ignored) > 0;
}

/// Closes and removes one connection: the oldest that has sent no request, else the oldest. Skips those that
/// are busy, have unread bytes, or were active less than `min_idle` ago. False if no connection qualifies.
inline bool EvictIdleConnection(Connections& connections, std::chrono::milliseconds min_idle) {
  const auto now = std::chrono::steady_clock::now();
  for (const bool has_sent_request : {false, true}) {
    const auto is_evictable = [&](const std::shared_ptr<Connection>& connection) {
      return connection->has_sent_request == has_sent_request && !connection->is_busy &&
             !connection->has_unread_bytes() && now - connection->last_activity_at >= min_idle;
    };
    const auto found = std::find_if(connections.begin(), connections.end(), is_evictable);
    if (found == connections.end()) continue;
    const auto connection = *found;
    connections.erase(found);
    connection->close();
    return true;
  }
  return false;
}

}  // namespace badgerbridge::http_api::detail

#endif  // BADGERBRIDGE_HTTP_API_CONNECTION_H_
