// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The I/O of the watch cache: the gRPC server for readers, the follower of the upstream (etcd or another
/// cache), and the timer. All decisions are made by WatchCache.
///
/// The next message of a watch is fetched only while its connection has few unsent bytes, so that the backlog
/// of a slow reader stays in the core, where it is merged and bounded.
#ifndef BADGERBRIDGE_WATCH_CACHE_SERVICE_H_
#define BADGERBRIDGE_WATCH_CACHE_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "etcd/follower_link.h"
#include "etcd/server.h"
#include "net/one_shot_timer.h"
#include "watch_cache/watch_cache.h"

namespace badgerbridge::watch_cache {

/// Configuration of the service.
struct ServiceSettings {
  boost::asio::ip::tcp::endpoint listen;                ///< The address for readers; port 0: any.
  etcd::ServerOptions server = DefaultServerOptions();  ///< Of the readers' connections.
  etcd::FollowerLinkSettings upstream;                  ///< Its prefix is set from `cache`.
  Settings cache;                                       ///< Of the core.
  std::size_t max_unsent_bytes = 256 << 10;             ///< Of a connection; at this size its watches wait.
  std::size_t max_message_bytes = 1 << 20;              ///< Of a message to a watch that accepts fragments.
  std::size_t max_watches_per_connection = 1000;        ///< Further watches are rejected.

  /// Limits requests to 64 KiB, and unsent bytes to 32 MiB, because a response is buffered as a whole.
  static etcd::ServerOptions DefaultServerOptions();
};

/// A running watch cache. To be used on the io_context's thread only.
class Service {
 public:
  /// Listens and connects upstream at once. Throws std::runtime_error with one line if it cannot listen. `io`
  /// must outlive this. `seed` seeds the backoff and the choice of upstream endpoints.
  Service(boost::asio::io_context& io, ServiceSettings settings, std::uint64_t seed);
  /// Closes all connections.
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  /// The address that it listens on, with the actual port.
  boost::asio::ip::tcp::endpoint address() const { return server_->address(); }

  /// Accepts no further connections and calls, and ends the watches over the drain period. `done` is called
  /// once, when no call is left or shortly after the drain period.
  void Drain(std::function<void()> done);

  WatchCache::Status status() const { return cache_.status(); }    ///< State and counters of the core.
  std::size_t connections() const { return connections_.size(); }  ///< Open connections of readers.

  /// The body of the status endpoint, for operators.
  boost::json::object Describe() const;

 private:
  struct Call;
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  // The stream that the messages of a watch are sent on.
  struct Subscriber {
    std::weak_ptr<Connection> connection;
    etcd::StreamId stream;
    std::int64_t watch_id;
  };

  // The stream that the response to a read is sent on.
  struct PendingRead {
    std::weak_ptr<Connection> connection;
    etcd::StreamId stream;
  };

  etcd::Http2ServerHandler AcceptConnection(const std::shared_ptr<etcd::ServerConnection>& link);
  etcd::FollowerLinkCallbacks UpstreamCallbacks();

  // ---- a reader's calls (service_calls.cpp)
  void OnCall(Connection& connection, etcd::StreamId stream, const etcd::CallHeaders& headers);
  void RejectCall(Connection& connection, etcd::StreamId stream, const std::string& path);
  void OnMessage(const ConnectionPtr& connection, etcd::StreamId stream, std::string_view message);
  void OnHalfClosed(const ConnectionPtr& connection, etcd::StreamId stream);
  void OnCallClosed(Connection& connection, etcd::StreamId stream);
  void StartRead(const ConnectionPtr& connection, etcd::StreamId stream, const std::string& message);
  void AnswerStatus(Connection& connection, etcd::StreamId stream);
  void HandleWatchRequest(const ConnectionPtr& connection, etcd::StreamId stream, std::string_view message);
  void CreateWatch(const ConnectionPtr& connection, etcd::StreamId stream,
                   const etcdserverpb::WatchCreateRequest& request);
  void RejectDuplicateWatchId(Connection& connection, etcd::StreamId stream);
  void CancelWatch(Connection& connection, etcd::StreamId stream, std::int64_t watch_id);
  void RequestProgressOfWatches(Connection& connection, etcd::StreamId stream);
  void RemoveWatch(Connection& connection, SubscriberId subscriber);
  etcdserverpb::ResponseHeader Header() const;

  // ---- the core
  // Calls `input` with a list for actions, performs them, and sends the messages that are ready.
  template <typename Input>
  void RunCore(Input input);
  void PerformActions();
  void Perform(WatchCache::AnswerRead& action);
  void Perform(WatchCache::ConfirmRevision& action);
  void Perform(WatchCache::WakeSubscriber& action);
  void Perform(WatchCache::EndSubscriber& action);
  void Perform(WatchCache::RequestUpstreamProgress& action);
  void Perform(WatchCache::RejectUpstream& action);
  void SendPending(Connection& connection);
  bool SendNextMessage(Connection& connection, SubscriberId subscriber);
  void ArmTimer();
  void CheckDrained();
  boost::json::object DescribeUpstream(const WatchCache::Status& status) const;
  boost::json::object DescribeReaders(const WatchCache::Status& status) const;

  boost::asio::io_context& io_;
  ServiceSettings settings_;
  WatchCache cache_;
  net::OneShotTimer timer_;
  Time armed_for_ = Time::max();
  std::set<ConnectionPtr> connections_;
  std::set<ConnectionPtr> connections_to_send_;  // those with messages or responses to send
  std::unordered_map<SubscriberId, Subscriber> subscribers_;
  std::unordered_map<ReadId, PendingRead> reads_;
  std::uint64_t next_id_ = 1;  // of reads and subscribers
  std::uint64_t rejected_writes_ = 0;
  std::uint64_t protocol_violations_ = 0;
  bool is_performing_ = false;
  std::deque<WatchCache::Action> actions_;  // not performed yet
  std::function<void()> on_drained_;
  std::optional<Time> drain_deadline_;
  // Declared last, because they must be destroyed before the members that their handlers use.
  std::unique_ptr<etcd::Server> server_;
  std::unique_ptr<etcd::FollowerLink> upstream_;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_SERVICE_H_
