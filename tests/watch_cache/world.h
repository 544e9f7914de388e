// SPDX-License-Identifier: Apache-2.0
//
// A source, three relays in two tiers and sixteen readers in virtual time, from a seed: the relay's core and
// etcd::Follower are the product's, the source is the stand-in's store, the links are a queue of messages.
// Faults on the links, at the relays and at the source. Every time a reader applies something, what it holds
// is compared with what the source held at the revision that the reader names.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_WORLD_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "etcd/follower.h"
#include "standins/etcd_store.h"
#include "watch_cache/relay.h"

namespace badgerbridge::watch_cache {

namespace pb = etcdserverpb;

// What is done to the messages of one relay, so that the checks have something to find.
enum class Mutation {
  kNone,
  kLostDelete,     // a deletion is left out
  kMergedDrain,    // a drain and what replaces it become one message, without the drain
  kWrongResume,    // a watch starts one revision later than it asked
  kEarlyProgress,  // progress names a revision whose events are still under way
};

// Keys with "value@mod_revision".
using Keys = std::map<std::string, std::string>;

// All that the source ever held, by cluster id and revision.
class History {
 public:
  void Note(std::uint64_t cluster_id, std::int64_t revision, Keys keys);
  void NoteEvent(std::uint64_t cluster_id, const pb::Event& event);

  const Keys* At(std::uint64_t cluster_id, std::int64_t revision) const;
  // Why what is held is not the source's state; nothing if it is.
  std::optional<std::string> Check(std::uint64_t cluster_id, std::int64_t revision, const Keys& held) const;
  // The newest event of each key in (from, to] that must be delivered; not of keys of which there is a newer
  // one after `to`: that one stands in for it.
  std::map<std::string, std::int64_t> MustSee(std::uint64_t cluster_id, std::int64_t from,
                                              std::int64_t to) const;

 private:
  struct Cluster {
    std::map<std::int64_t, Keys> states;
    std::map<std::int64_t, std::vector<std::string>> deletions, must_deliver;  // keys by revision
    std::map<std::string, std::int64_t> newest_must_deliver;
  };
  std::map<std::uint64_t, Cluster> clusters_;
};

class World;

// What takes calls: the source or a relay.
class Server {
 public:
  using Reply = std::function<void(const etcd::Status&, const pb::RangeResponse&)>;
  // Where a watch's messages go. It asks the server for more once it has room.
  struct Stream {
    std::uint64_t id = 0;
    std::function<bool()> has_room;
    std::function<void(const pb::WatchResponse&)> send;
    std::function<void(const etcd::Status&)> end;
  };

  virtual ~Server() = default;
  virtual bool up() const = 0;
  virtual void Range(const pb::RangeRequest& request, Reply reply) = 0;
  virtual void Watch(Stream stream, const pb::WatchCreateRequest& request) = 0;
  virtual void Unwatch(std::uint64_t stream) = 0;
  virtual void RequestProgress(std::uint64_t stream) = 0;
  virtual void Pump(std::uint64_t stream) = 0;
};

// A Follower and its connection to one of several servers.
class Client {
 public:
  // What it learns.
  struct Events {
    std::function<void(std::uint64_t cluster, std::int64_t revision, std::vector<pb::KeyValue>)> snapshot;
    std::function<void(const etcd::Follower::Events&)> events;
    std::function<void(std::int64_t)> progress;
    std::function<void(const std::string&)> lost;
    std::function<void(const pb::WatchResponse&)> message;  // as it came, before it is applied
  };

  Client(World& world, std::vector<Server*> servers, std::uint64_t seed, Events events);
  ~Client() { Drop(); }

  const etcd::Follower& follower() const { return follower_; }
  Server* server() const { return session_ ? session_->server : nullptr; }
  void Tick();
  void Cut();  // the connection is lost; both sides learn it
  // Nothing more comes in until it is let go, and the server learns nothing of that.
  void Stall(bool stalled);
  bool stalled() const { return session_ && session_->stalled; }
  void RequestProgress();

 private:
  struct Session {
    Client* client;
    Server* server;
    bool open = true, stalled = false;
    Time last_delivery{0};
    int in_flight = 0;                       // messages of the watch
    std::uint64_t stream = 0;                // the watch's; 0: none
    std::deque<std::function<void()>> held;  // what came while stalled
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Do(const etcd::Follower::Connect& action);
  void Do(const etcd::Follower::Authenticate&) {}
  void Do(const etcd::Follower::Range& action);
  void Do(const etcd::Follower::Watch& action);
  void Do(const etcd::Follower::AddWatch& action);
  void Do(const etcd::Follower::RequestProgress&) { RequestProgress(); }
  void Do(const etcd::Follower::Close&) { Drop(); }
  void Do(const etcd::Follower::SnapshotPage& action);
  void Do(const etcd::Follower::Events& action) { events_.events(action); }
  void Do(const etcd::Follower::Progress& action) { events_.progress(action.revision); }
  void Do(const etcd::Follower::Disconnected& action) { events_.lost(action.why); }

  void Drop();
  template <typename Step>
  void Act(Step step);
  // Runs `what` on the server's side, or back on the client's, after a delay and in order.
  void ToServer(const SessionPtr& session, std::function<void()> what);
  void ToClient(const SessionPtr& session, std::function<void()> what);
  void Unwatch(const SessionPtr& session);

  World& world_;
  std::vector<Server*> servers_;
  Events events_;
  etcd::Follower follower_;
  SessionPtr session_;
  std::vector<pb::KeyValue> pages_;
};

class Source;
class RelayNode;
class Reader;

struct Counts {
  std::uint64_t steps = 0, applied = 0, drains_checked = 0, reads = 0, cuts = 0, stalls = 0, restarts = 0,
                compactions = 0, restores = 0, outages = 0, snapshots = 0, resumes = 0, lists_again = 0,
                rereads = 0, merged = 0, fragments = 0, tampered = 0;
};

class World {
 public:
  explicit World(std::uint64_t seed, Mutation fault = Mutation::kNone);
  ~World();

  void Step();
  // No more faults; true once all readers hold what the source holds.
  bool Converge();

  const std::vector<std::string>& violations() const { return violations_; }
  Counts counts() const;

  // ---- for the parts
  Time now() const { return now_; }
  unsigned Draw(unsigned n) { return static_cast<unsigned>(random_() % n); }
  bool Chance(unsigned percent) { return Draw(100) < percent; }
  bool faults() const { return faults_; }
  void After(Time delay, std::function<void()> what);
  void Violated(std::string what);
  std::uint64_t NextId() { return next_id_++; }
  History& history() { return history_; }
  Counts& count() { return counts_; }

 private:
  struct Scheduled {
    Time at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Scheduled& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Advance(Time by);
  void Write();
  void CheckBounds();
  void ReadSomewhere();
  Client& AnyClient();

  std::mt19937_64 random_;
  Time now_{1000};
  bool faults_ = true;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue_;
  std::uint64_t next_order_ = 0, next_id_ = 1, next_value_ = 1;
  History history_;
  Counts counts_;
  std::vector<std::string> violations_;
  std::unique_ptr<Source> source_;
  std::vector<std::unique_ptr<RelayNode>> relays_;
  std::vector<std::unique_ptr<Reader>> readers_;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_WORLD_H_
