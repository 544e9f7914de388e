// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A follower in virtual time, and the interface of simulated servers.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_CLIENT_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "etcd/follower.h"
#include "watch_cache/simulation_keys.h"

namespace badgerbridge::watch_cache::simulation {

class World;

/// A simulated server: the source or a watch cache.
class Server {
 public:
  using Reply = std::function<void(const etcd::Status&, const pb::RangeResponse&)>;
  /// The transport of a watch's messages. Its owner calls SendPending when it accepts more messages.
  struct Stream {
    std::uint64_t id = 0;
    std::function<bool()> can_send;
    std::function<void(const pb::WatchResponse&)> send;
    std::function<void(const etcd::Status&)> end;
  };

  virtual ~Server() = default;
  virtual bool up() const = 0;
  virtual void Range(const pb::RangeRequest& request, Reply reply) = 0;
  virtual void Watch(Stream stream, const pb::WatchCreateRequest& request) = 0;
  virtual void CancelWatch(std::uint64_t stream) = 0;
  virtual void RequestProgress(std::uint64_t stream) = 0;
  virtual void SendPending(std::uint64_t stream) = 0;
};

/// An etcd::Follower and its connection to one of several servers.
class Client {
 public:
  /// Callbacks for data from the server.
  struct Events {
    std::function<void(std::uint64_t cluster, std::int64_t revision, std::vector<pb::KeyValue>)> snapshot;
    std::function<void(const etcd::Follower::Events&)> events;
    std::function<void(std::int64_t)> progress;
    std::function<void(const std::string&)> lost;
    std::function<void(const pb::WatchResponse&)> message;  // as received, before it is applied
  };

  Client(World& world, std::vector<Server*> servers, std::uint64_t seed, Events events);
  ~Client() { Drop(); }

  const etcd::Follower& follower() const { return follower_; }
  Server* server() const { return session_ ? session_->server : nullptr; }
  void Tick();
  /// Closes the connection; both sides are notified.
  void Cut();
  /// While stalled, the client receives nothing, and the server is not notified.
  void Stall(bool stalled);
  bool stalled() const { return session_ && session_->stalled; }
  void RequestProgress();

 private:
  struct Session {
    Client* client;
    Server* server;
    bool open = true;
    bool stalled = false;
    Time last_delivery{0};
    int in_flight = 0;                       // messages of the watch
    std::uint64_t stream = 0;                // of the watch; 0: none
    std::deque<std::function<void()>> held;  // received while stalled
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Perform(const etcd::Follower::Connect& action);
  void Perform(const etcd::Follower::Authenticate&) {}
  void Perform(const etcd::Follower::Range& action);
  void Perform(const etcd::Follower::Watch& action);
  void Perform(const etcd::Follower::AddWatch& action);
  void Perform(const etcd::Follower::RequestProgress&) { RequestProgress(); }
  void Perform(const etcd::Follower::Close&) { Drop(); }
  void Perform(const etcd::Follower::SnapshotPage& action);
  void Perform(const etcd::Follower::Events& action) { events_.events(action); }
  void Perform(const etcd::Follower::Progress& action) { events_.progress(action.revision); }
  void Perform(const etcd::Follower::Disconnected& action) { events_.lost(Message(action.error)); }

  void Drop();
  template <typename Step>
  void CallFollower(Step step);
  // Run the task at the server or at the client after a random delay; at the client, in order.
  void ToServer(const SessionPtr& session, std::function<void()> task);
  void ToClient(const SessionPtr& session, std::function<void()> task);
  void CancelWatch(const SessionPtr& session);

  World& world_;
  std::vector<Server*> servers_;
  Events events_;
  etcd::Follower follower_;
  SessionPtr session_;
  std::vector<pb::KeyValue> pages_;
};

}  // namespace badgerbridge::watch_cache::simulation

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_CLIENT_H_
