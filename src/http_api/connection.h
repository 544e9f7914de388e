// SPDX-License-Identifier: Apache-2.0
//
// The open connections of a server, and which of them is closed to admit another.
#ifndef BADGERBRIDGE_HTTP_API_CONNECTION_H_
#define BADGERBRIDGE_HTTP_API_CONNECTION_H_

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>

namespace badgerbridge::http_api::detail {

/// One open connection, as its server sees it. Used on the server's io_context alone.
struct Connection {
  /// Ends the connection from outside.
  std::function<void()> close;
  /// Whether bytes have arrived that have not been read.
  std::function<bool()> has_unread = [] { return false; };
  /// When it was opened, or its last request or answer ended.
  std::chrono::steady_clock::time_point last_activity_at = std::chrono::steady_clock::now();
  /// Whether a complete request has come on it.
  bool has_sent_request = false;
  /// Whether a request of it is being handled, or its answer written.
  bool is_busy = false;
};

/// Oldest first.
using Connections = std::list<std::shared_ptr<Connection>>;

/// Whether bytes of the socket wait to be read.
template <typename Socket>
bool HasUnread(const Socket& socket) {
  boost::system::error_code ignored;
  return socket.available(ignored) > 0;
}

/// Closes and removes one connection: the oldest that has sent no request, else the oldest. Passes over those
/// that are busy, have unread bytes, or were active less than `min_idle` ago. False if no connection is left.
inline bool EvictIdleConnection(Connections& connections, std::chrono::milliseconds min_idle) {
  const auto now = std::chrono::steady_clock::now();
  for (const bool has_sent_request : {false, true}) {
    const auto is_candidate = [&](const std::shared_ptr<Connection>& connection) {
      return connection->has_sent_request == has_sent_request && !connection->is_busy &&
             !connection->has_unread() && now - connection->last_activity_at >= min_idle;
    };
    const auto found = std::find_if(connections.begin(), connections.end(), is_candidate);
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
