// SPDX-License-Identifier: Apache-2.0
//
// The relay's shell: gRPC connections of readers below, a follower of the source (etcd, or another relay)
// above, the timer. What is decided, Relay decides.
//
// A watch is asked for its next message only while its connection's unsent bytes are under a bound, so that a
// slow reader's backlog stays in the relay's core, where it is merged and bounded.
#ifndef BADGERBRIDGE_WATCH_CACHE_SERVICE_H_
#define BADGERBRIDGE_WATCH_CACHE_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "etcd/follower_link.h"
#include "etcd/server.h"
#include "net/one_shot_timer.h"
#include "watch_cache/relay.h"

namespace badgerbridge::watch_cache {

struct ServiceSettings {
  boost::asio::ip::tcp::endpoint listen;
  etcd::ServerOptions server = DefaultServerOptions();
  etcd::FollowerLinkSettings upstream;  // its prefix is set from `relay`
  Settings relay;
  std::size_t connection_unsent = 256 << 10;  // bytes; at the bound, watches get no further messages
  std::size_t message_bytes = 1 << 20;        // of one message to a watch that takes fragments
  std::size_t watches_per_connection = 1000;

  // Requests are small; answers to reads wait as whole messages.
  static etcd::ServerOptions DefaultServerOptions();
};

class Service {
 public:
  // Starts at once. Throws std::runtime_error, one line, if it can't listen.
  Service(boost::asio::io_context& io, ServiceSettings settings, std::uint64_t seed);
  ~Service();  // ends all connections
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return server_->address(); }

  // Takes no further connections and calls, and sends the watches elsewhere over the drain period. `done` is
  // called once, when all are gone or the period and a little more is over.
  void Drain(std::function<void()> done);

  Relay::Status status() const { return relay_.status(); }
  std::size_t connections() const { return connections_.size(); }
  // For operators: what it holds and how old that is, the way up, the readers.
  boost::json::object Describe() const;

 private:
  struct Call;
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Subscriber {
    std::weak_ptr<Connection> connection;
    etcd::StreamId stream;
    std::int64_t watch_id;
  };
  struct PendingRead {
    std::weak_ptr<Connection> connection;
    etcd::StreamId stream;
  };

  etcd::Http2ServerHandler Connected(const std::shared_ptr<etcd::ServerConnection>& link);
  etcd::FollowerLinkCallbacks UpstreamCallbacks();

  // ---- a reader's calls
  void CallBegan(Connection& connection, etcd::StreamId stream, const etcd::CallHead& head);
  void MessageReceived(const ConnectionPtr& connection, etcd::StreamId stream, std::string_view message);
  void HalfClosed(const ConnectionPtr& connection, etcd::StreamId stream);
  void CallClosed(Connection& connection, etcd::StreamId stream);
  void RangeRequested(const ConnectionPtr& connection, etcd::StreamId stream, const std::string& message);
  void StatusRequested(Connection& connection, etcd::StreamId stream);
  void WatchRequested(const ConnectionPtr& connection, etcd::StreamId stream, std::string_view message);
  void CreateWatch(const ConnectionPtr& connection, etcd::StreamId stream,
                   const etcdserverpb::WatchCreateRequest& request);
  void CancelWatch(Connection& connection, etcd::StreamId stream, std::int64_t watch_id);
  void ForgetWatch(Connection& connection, SubscriberId subscriber);
  etcdserverpb::ResponseHeader Header() const;

  // ---- the core
  // Runs one of its inputs, carries out its actions, sends what became ready.
  template <typename Input>
  void Run(Input input);
  void Do(Relay::AnswerRead& action);
  void Do(Relay::ConfirmRevision& action);
  void Do(Relay::WakeSubscriber& action);
  void Do(Relay::EndSubscriber& action);
  void Do(Relay::RequestUpstreamProgress& action);
  void Do(Relay::RejectUpstream& action);
  void Send(Connection& connection);
  bool SendNext(Connection& connection, SubscriberId subscriber);
  void ArmTimer();
  void CheckDrained();

  boost::asio::io_context& io_;
  ServiceSettings settings_;
  Relay relay_;
  net::OneShotTimer timer_;
  Time armed_for_ = Time::max();
  std::set<ConnectionPtr> connections_;
  std::set<ConnectionPtr> to_send_;  // have something for their watches or an answer
  std::unordered_map<SubscriberId, Subscriber> subscribers_;
  std::unordered_map<ReadId, PendingRead> reads_;
  std::uint64_t next_id_ = 1;  // of reads and subscribers
  std::uint64_t writes_refused_ = 0, violations_ = 0;
  bool running_ = false;
  std::deque<Relay::Action> actions_;
  std::function<void()> drained_;
  std::optional<Time> drain_deadline_;
  // The last two end before what their handlers use.
  std::unique_ptr<etcd::Server> server_;
  std::unique_ptr<etcd::FollowerLink> upstream_;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_SERVICE_H_
