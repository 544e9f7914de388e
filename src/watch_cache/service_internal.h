// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Private types and functions shared by the source files of Service.
#ifndef BADGERBRIDGE_WATCH_CACHE_SERVICE_INTERNAL_H_
#define BADGERBRIDGE_WATCH_CACHE_SERVICE_INTERNAL_H_

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "watch_cache/service.h"

namespace badgerbridge::watch_cache {

/// A call of a reader.
struct Service::Call {
  /// The methods that are served.
  enum class Kind { kRange, kWatch, kStatus };

  Kind kind;                                     ///< The method.
  std::string request;                           ///< The first message received; unused for a watch.
  std::size_t message_count = 0;                 ///< Messages received; unused for a watch.
  ReadId read = 0;                               ///< The read in flight; 0: none.
  std::map<std::int64_t, SubscriberId> watches;  ///< By watch id.
  std::int64_t next_watch_id = 0;                ///< The next id to try if the reader does not choose one.
  bool finished = false;                         ///< The status was sent.
};

/// A connection of a reader.
struct Service::Connection {
  /// Shares ownership with etcd::Server.
  explicit Connection(std::shared_ptr<etcd::ServerConnection> connection) : link(std::move(connection)) {}

  /// The HTTP/2 session.
  etcd::Http2Server& http2() { return link->http2(); }

  std::shared_ptr<etcd::ServerConnection> link;  ///< The transport; its socket and HTTP/2 session.
  std::map<etcd::StreamId, Call> calls;          ///< By stream.
  std::deque<SubscriberId> ready_subscribers;    ///< Those with messages to send, in round-robin order.
  std::size_t watch_count = 0;                   ///< Watches of all calls.
};

/// The current time of the core's clock.
inline Time Now() { return etcd::FollowerLink::Now(); }

/// A gRPC status that this server sends.
inline etcd::Status Error(etcd::Code code, std::string message) {
  return {code, etcd::Ending::kStatus, std::move(message)};
}

template <typename Input>
void Service::RunCore(Input input) {
  WatchCache::Actions actions;
  input(&actions);
  std::move(actions.begin(), actions.end(), std::back_inserter(actions_));
  PerformActions();
}

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_SERVICE_INTERNAL_H_
