// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/world.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace badgerbridge::watch_cache {
namespace {

using etcd::Code;
using etcd::Ending;
using etcd::Status;

const std::string kPrefix = "/p/";
const std::string kPrefixEnd = "/p0";
constexpr unsigned kKeys = 12;
constexpr std::size_t kFragmentBytes = 400;
constexpr int kMessagesInFlight = 2;  // of a watch: what its transport has room for

pb::RangeRequest ListAll() {
  pb::RangeRequest request;
  request.set_key(kPrefix);
  request.set_range_end(kPrefixEnd);
  return request;
}

bool IsDrain(const pb::KeyValue& kv) { return kv.value().rfind("drain", 0) == 0; }
bool MustDeliver(const pb::Event& event) { return event.type() == pb::Event::DELETE || IsDrain(event.kv()); }

std::string Held(const pb::KeyValue& kv) { return kv.value() + "@" + std::to_string(kv.mod_revision()); }

template <typename KeyValues>
Keys ToKeys(const KeyValues& kvs) {
  Keys keys;
  for (const pb::KeyValue& kv : kvs) keys[kv.key()] = Held(kv);
  return keys;
}

void Apply(const pb::Event& event, Keys* keys) {
  if (event.type() == pb::Event::DELETE) {
    keys->erase(event.kv().key());
  } else {
    (*keys)[event.kv().key()] = Held(event.kv());
  }
}

std::string Text(const Keys& keys) {
  std::string text;
  for (const auto& [key, value] : keys) text += " " + key + "=" + value;
  return text;
}

Settings RelaySettings() {
  Settings settings;
  settings.prefix = kPrefix;
  settings.window_events = 60;
  settings.window_bytes = 20000;
  settings.backlog_bytes = 600;
  settings.merged_events = 20;
  settings.read_timeout = Time(400);
  settings.must_deliver = IsDrain;
  return settings;
}

etcd::FollowerSettings ClientSettings(std::size_t endpoints) {
  etcd::FollowerSettings settings;
  settings.prefix = kPrefix;
  settings.endpoints = endpoints;
  settings.page_size = 5;
  settings.max_backoff = Time(500);
  return settings;
}

}  // namespace

// ------------------------------------------------------------------------------------------------ History

void History::Note(std::uint64_t cluster_id, std::int64_t revision, Keys keys) {
  clusters_[cluster_id].states[revision] = std::move(keys);
}

void History::NoteEvent(std::uint64_t cluster_id, const pb::Event& event) {
  Cluster& cluster = clusters_[cluster_id];
  const std::int64_t revision = event.kv().mod_revision();
  if (event.type() == pb::Event::DELETE) cluster.deletions[revision].push_back(event.kv().key());
  if (!MustDeliver(event)) return;
  cluster.must_deliver[revision].push_back(event.kv().key());
  cluster.newest_must_deliver[event.kv().key()] = revision;
}

const Keys* History::At(std::uint64_t cluster_id, std::int64_t revision) const {
  const auto cluster = clusters_.find(cluster_id);
  if (cluster == clusters_.end()) return nullptr;
  const auto state = cluster->second.states.find(revision);
  return state == cluster->second.states.end() ? nullptr : &state->second;
}

std::optional<std::string> History::Check(std::uint64_t cluster_id, std::int64_t revision,
                                          const Keys& held) const {
  const Keys* state = At(cluster_id, revision);
  const std::string at = " at revision " + std::to_string(revision) + " of " + std::to_string(cluster_id);
  if (!state) return "names a revision that never was," + at;
  if (held == *state) return std::nullopt;
  return "holds" + Text(held) + at + ", the source held" + Text(*state);
}

std::map<std::string, std::int64_t> History::MustSee(std::uint64_t cluster_id, std::int64_t from,
                                                     std::int64_t to) const {
  std::map<std::string, std::int64_t> newest;
  const Cluster& cluster = clusters_.at(cluster_id);
  for (auto at = cluster.must_deliver.upper_bound(from); at != cluster.must_deliver.end() && at->first <= to;
       ++at) {
    for (const std::string& key : at->second) newest[key] = at->first;
  }
  std::erase_if(newest, [&](const auto& event) {
    const auto last = cluster.newest_must_deliver.find(event.first);
    return last->second > to;
  });
  return newest;
}

// ------------------------------------------------------------------------------------------------- Client

Client::Client(World& world, std::vector<Server*> servers, std::uint64_t seed, Events events)
    : world_(world),
      servers_(std::move(servers)),
      events_(std::move(events)),
      follower_(ClientSettings(servers_.size()), seed) {}

template <typename Step>
void Client::Act(Step step) {
  etcd::Follower::Actions actions;
  step(&actions);
  for (const auto& action : actions) std::visit([this](const auto& one) { Do(one); }, action);
}

void Client::Tick() {
  if (follower_.NextWake() > world_.now()) return;
  Act([&](auto* actions) { follower_.Tick(world_.now(), actions); });
}

void Client::Unwatch(const SessionPtr& session) {
  if (session->stream != 0) session->server->Unwatch(std::exchange(session->stream, 0));
  session->in_flight = 0;
}

void Client::Drop() {
  if (!session_) return;
  session_->open = false;
  session_->held.clear();  // what is there holds the session itself
  Unwatch(session_);
  session_.reset();
}

void Client::Cut() {
  if (!session_) return;
  ++world_.count().cuts;
  Drop();
  Act([&](auto* actions) { follower_.Closed(world_.now(), "cut", actions); });
}

void Client::Stall(bool stalled) {
  if (!session_) return;
  const SessionPtr session = session_;
  session->stalled = stalled;
  while (!session->stalled && session->open && !session->held.empty()) {
    const auto what = std::move(session->held.front());
    session->held.pop_front();
    what();
  }
}

void Client::RequestProgress() {
  if (!session_) return;
  ToServer(session_, [session = session_] {
    if (session->stream != 0) session->server->RequestProgress(session->stream);
  });
}

void Client::ToServer(const SessionPtr& session, std::function<void()> what) {
  world_.After(Time(world_.Draw(3)), [session, what = std::move(what)] {
    if (session->open && session->server->up()) what();
  });
}

void Client::ToClient(const SessionPtr& session, std::function<void()> what) {
  session->last_delivery = std::max(session->last_delivery, world_.now() + Time(world_.Draw(4)));
  world_.After(session->last_delivery - world_.now(), [session, what = std::move(what)] {
    if (!session->open) return;
    if (session->stalled) {
      session->held.push_back(what);
    } else {
      what();
    }
  });
}

void Client::Do(const etcd::Follower::Connect& action) {
  Drop();
  session_ = std::make_shared<Session>();
  session_->client = this;
  session_->server = servers_[action.endpoint];
  ToClient(session_, [this, session = session_] {
    if (session->server->up() && !(world_.faults() && world_.Chance(5))) {
      Act([&](auto* actions) { follower_.Opened(world_.now(), actions); });
    } else {
      Drop();
      Act([&](auto* actions) { follower_.Closed(world_.now(), "refused", actions); });
    }
  });
}

void Client::Do(const etcd::Follower::Range& action) {
  ToServer(session_, [this, session = session_, request = action.request] {
    session->server->Range(request, [this, session](const Status& status, const pb::RangeResponse& response) {
      if (!session->open) return;
      ToClient(session, [this, status, response] {
        Act([&](auto* actions) { follower_.RangeCompleted(world_.now(), status, response, actions); });
      });
    });
  });
}

void Client::Do(const etcd::Follower::Watch& action) {
  Unwatch(session_);
  ToServer(session_, [this, session = session_, request = action.request.create_request()] {
    Unwatch(session);
    const std::uint64_t id = world_.NextId();
    session->stream = id;
    Server::Stream stream;
    stream.id = id;
    stream.has_room = [session] { return session->in_flight < kMessagesInFlight; };
    stream.send = [this, session, id](const pb::WatchResponse& response) {
      if (!session->open || session->stream != id) return;
      ++session->in_flight;
      ToClient(session, [this, session, id, response] {
        if (session->stream != id) return;
        --session->in_flight;
        events_.message(response);
        Act([&](auto* actions) { follower_.WatchReceived(world_.now(), response, actions); });
        if (session->open && session->stream == id) session->server->Pump(id);
      });
    };
    stream.end = [this, session, id](const Status& status) {
      if (!session->open || session->stream != id) return;
      session->stream = 0;
      ToClient(session, [this, status] {
        Act([&](auto* actions) { follower_.WatchEnded(world_.now(), status, actions); });
      });
    };
    session->server->Watch(std::move(stream), request);
  });
}

void Client::Do(const etcd::Follower::AddWatch&) {
  world_.Violated("a follower without sections adds a watch");
}

void Client::Do(const etcd::Follower::SnapshotPage& action) {
  if (action.first) pages_.clear();
  pages_.insert(pages_.end(), action.kvs.begin(), action.kvs.end());
  if (action.last) events_.snapshot(action.cluster_id, action.revision, std::exchange(pages_, {}));
}

// ------------------------------------------------------------------------------------------------- Source

class Source : public Server {
 public:
  explicit Source(World& world) : world_(world) { Note(0); }

  bool up() const override { return true; }
  standins::EtcdStore& store() { return store_; }
  std::uint64_t cluster_id() const { return cluster_id_; }
  // Without a leader nothing is answered that must be committed.
  void SetLeader(bool leader) { leader_ = leader; }

  void Txn(const pb::TxnRequest& request) {
    const std::int64_t before = store_.revision();
    pb::TxnResponse response;
    const Status status = store_.Txn(request, &response);
    if (!status.ok()) return world_.Violated("the store refuses a write: " + status.Text());
    Note(before);
    PumpAll();
  }

  void Compact() {
    const std::int64_t uncompacted = store_.revision() - store_.compacted();
    if (uncompacted < 2) return;
    if (store_.Compact(store_.compacted() + 1 + world_.Draw(static_cast<unsigned>(uncompacted))).ok())
      ++world_.count().compactions;
  }

  void Restore() {
    store_ = standins::EtcdStore();
    ++cluster_id_;
    pb::TxnRequest request;
    for (unsigned i = 0; i < world_.Draw(4); ++i) {
      auto* put = request.add_success()->mutable_request_put();
      put->set_key(kPrefix + "k" + std::to_string(i));
      put->set_value("backup" + std::to_string(cluster_id_));
    }
    for (const auto& [id, watch] : std::exchange(watches_, {}))
      watch.stream.end({Code::kUnavailable, Ending::kLost, "restored"});
    ++world_.count().restores;
    Note(0);
    Txn(request);
  }

  void Range(const pb::RangeRequest& request, Reply reply) override {
    pb::RangeResponse response;
    Head(&response);
    if (!leader_) return reply({Code::kUnavailable, Ending::kStatus, "no leader"}, response);
    const Status status = store_.Range(request, &response);
    reply(status, response);
  }

  void Watch(Stream stream, const pb::WatchCreateRequest& request) override {
    pb::WatchResponse response;
    Head(&response);
    response.set_created(true);
    stream.send(response);
    const std::uint64_t id = stream.id;
    watches_[id] = {std::move(stream), request.start_revision()};
    Pump(id);
  }
  void Unwatch(std::uint64_t stream) override { watches_.erase(stream); }
  void RequestProgress(std::uint64_t stream) override {
    const auto found = watches_.find(stream);
    if (found == watches_.end() || found->second.next <= store_.revision()) return;  // only when it has all
    pb::WatchResponse response;
    Head(&response);
    found->second.stream.send(response);
  }
  void NotifyProgress() {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, watch] : watches_) ids.push_back(id);
    for (const std::uint64_t id : ids) RequestProgress(id);
  }

  void Pump(std::uint64_t stream) override {
    const auto found = watches_.find(stream);
    if (found == watches_.end() || found->second.next > store_.revision()) return;
    Watch_& watch = found->second;
    if (!watch.stream.has_room()) return;
    pb::WatchResponse response;
    Head(&response);
    if (watch.next <= store_.compacted()) {
      response.set_canceled(true);
      response.set_compact_revision(store_.compacted());
      const Stream canceled = std::move(watch.stream);
      watches_.erase(found);
      return canceled.send(response);
    }
    // All that there is at once, as etcd does for one who catches up, in fragments or not.
    const auto events = store_.Events(kPrefix, kPrefixEnd, watch.next, false);
    watch.next = store_.revision() + 1;
    if (events.empty()) return;
    const std::size_t piece = world_.Chance(50) ? events.size() : 1 + world_.Draw(4);
    std::vector<pb::WatchResponse> pieces;
    for (std::size_t i = 0; i < events.size(); ++i) {
      *response.add_events() = events[i];
      const bool last = i + 1 == events.size();
      if (!last && static_cast<std::size_t>(response.events_size()) < piece) continue;
      response.set_fragment(!last);
      pieces.push_back(response);
      response.clear_events();
    }
    const Stream to = watch.stream;
    for (const pb::WatchResponse& one : pieces) to.send(one);
  }

 private:
  struct Watch_ {
    Stream stream;
    std::int64_t next = 0;
  };

  template <typename Response>
  void Head(Response* response) const {
    response->mutable_header()->set_cluster_id(cluster_id_);
    response->mutable_header()->set_revision(store_.revision());
  }
  void Note(std::int64_t before) {
    for (std::int64_t revision = before + 1; revision <= store_.revision(); ++revision) {
      pb::RangeRequest all = ListAll();
      all.set_revision(revision);
      pb::RangeResponse response;
      if (store_.Range(all, &response).ok())
        world_.history().Note(cluster_id_, revision, ToKeys(response.kvs()));
    }
    for (const pb::Event& event : store_.Events(kPrefix, kPrefixEnd, before + 1, false))
      world_.history().NoteEvent(cluster_id_, event);
  }
  void PumpAll() {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, watch] : watches_) ids.push_back(id);
    for (const std::uint64_t id : ids) {
      if (!world_.Chance(30)) Pump(id);  // or with the next write
    }
  }

  World& world_;
  standins::EtcdStore store_;
  std::uint64_t cluster_id_ = 1;
  bool leader_ = true;
  std::map<std::uint64_t, Watch_> watches_;
};

// ---------------------------------------------------------------------------------------------- RelayNode

class RelayNode : public Server {
 public:
  RelayNode(World& world, std::vector<Server*> upstreams, Mutation fault)
      : world_(world), upstreams_(std::move(upstreams)), fault_(fault) {
    Start();
  }

  bool up() const override { return core_ != nullptr; }
  Client& upstream() { return *client_; }
  const Relay& core() const { return *core_; }

  void Start() {
    core_ = std::make_unique<Relay>(RelaySettings());
    ++life_;
    Client::Events events;
    events.snapshot = [this](auto cluster_id, auto revision, auto kvs) {
      Snapshot(cluster_id, revision, std::move(kvs));
    };
    events.events = [this](const etcd::Follower::Events& batch) {
      Act([&](auto* actions) { core_->UpstreamEvents(world_.now(), batch.revision, batch.events, actions); });
    };
    events.progress = [this](std::int64_t revision) {
      Act([&](auto* actions) { core_->UpstreamProgress(world_.now(), revision, actions); });
    };
    events.lost = [this](const std::string& why) {
      Act([&](auto* actions) { core_->UpstreamLost(world_.now(), why, actions); });
    };
    events.message = [](const pb::WatchResponse&) {};
    client_ = std::make_unique<Client>(world_, upstreams_, world_.NextId(), std::move(events));
  }

  // It is killed: connections to it end, what it held is gone.
  void Stop() {
    rereads_ += core_->status().told_to_reread;
    snapshots_ += client_->follower().snapshots();
    resumes_ += client_->follower().resumes();
    client_.reset();
    core_.reset();
    replies_.clear();
    for (const auto& [id, stream] : std::exchange(streams_, {}))
      stream.end({Code::kUnavailable, Ending::kLost, "killed"});
  }

  void Tick() {
    if (!up()) return;
    client_->Tick();
    const auto wake = core_->NextWake();
    if (wake && *wake <= world_.now()) Act([&](auto* actions) { core_->Tick(world_.now(), actions); });
  }
  std::optional<Time> NextWake() const {
    if (!up()) return std::nullopt;
    const Time follower = client_->follower().NextWake();
    const auto core = core_->NextWake();
    return core ? std::min(*core, follower) : follower;
  }

  void Range(const pb::RangeRequest& request, Reply reply) override {
    const std::uint64_t id = world_.NextId();
    replies_[id] = std::move(reply);
    Act([&](auto* actions) { core_->Read(world_.now(), id, request, actions); });
  }

  void Watch(Stream stream, const pb::WatchCreateRequest& request) override {
    const std::uint64_t id = stream.id;
    streams_[id] = std::move(stream);
    pb::WatchCreateRequest asked = request;
    if (fault_ == Mutation::kWrongResume && asked.start_revision() > 0 && world_.Chance(30)) {
      asked.set_start_revision(asked.start_revision() + 1);
      ++world_.count().tampered;
    }
    Act([&](auto* actions) { core_->Subscribe(world_.now(), id, asked, actions); });
  }
  void Unwatch(std::uint64_t stream) override {
    if (!streams_.erase(stream) || !up()) return;
    core_->Unsubscribe(stream);
  }
  void RequestProgress(std::uint64_t stream) override {
    if (streams_.count(stream))
      Act([&](auto* actions) { core_->RequestProgress(world_.now(), stream, actions); });
  }
  void Pump(std::uint64_t stream) override {
    for (;;) {
      const auto found = streams_.find(stream);
      if (found == streams_.end() || !up() || !found->second.has_room()) return;
      pb::WatchResponse response;
      if (!core_->Take(world_.now(), stream, kFragmentBytes, &response)) return;
      Tamper(stream, &response);
      world_.count().fragments += response.fragment();
      const Stream to = found->second;
      if (response.canceled()) streams_.erase(found);
      to.send(response);
    }
  }

  void CheckBounds() {
    if (!up()) return;
    const Settings settings = RelaySettings();
    const Relay::Status status = core_->status();
    const auto bounded = [&](const char* what, std::size_t value, std::size_t bound) {
      if (value <= bound) return;
      world_.Violated(std::string(what) + " is " + std::to_string(value) + ", bound " +
                      std::to_string(bound));
    };
    bounded("window_events", status.window_events, settings.window_events);
    bounded("window_bytes", status.window_bytes, settings.window_bytes);
    bounded("merged_events", status.merged_events, settings.merged_events * status.slow_subscribers);
    bounded("slow_subscribers", status.slow_subscribers, status.subscribers);
    bounded("subscribers", status.subscribers, streams_.size());
    bounded("waiting_reads", status.waiting_reads, replies_.size());
    bounded("keys", status.keys, kKeys);
    if (status.compact_revision > status.revision) world_.Violated("the window's floor is in the future");
    if (status.upstream_rejected > 0) world_.Violated("rejects its upstream: " + status.last_upstream_error);
    slow_seen_ += status.slow_subscribers;
  }
  void AddCounts(Counts* counts) const {
    counts->rereads += rereads_ + (up() ? core_->status().told_to_reread : 0);
    counts->snapshots += snapshots_ + (up() ? client_->follower().snapshots() : 0);
    counts->resumes += resumes_ + (up() ? client_->follower().resumes() : 0);
    counts->merged += slow_seen_;
  }

 private:
  template <typename Step>
  void Act(Step step) {
    if (!up()) return;
    Relay::Actions actions;
    step(&actions);
    const std::uint64_t life = life_;
    for (Relay::Action& action : actions) {
      if (!up() || life != life_) return;
      std::visit([this](auto& one) { Do(one); }, action);
    }
  }
  void Do(Relay::AnswerRead& action) {
    const auto found = replies_.find(action.read);
    if (found == replies_.end()) return world_.Violated("answers a read twice");
    const Reply reply = std::move(found->second);
    replies_.erase(found);
    reply(action.status, action.response);
  }
  // By a connection of its own to the upstream that is followed; its answer may be lost.
  void Do(const Relay::ConfirmRevision& action) {
    Server* server = client_->server();
    const std::uint64_t life = life_, confirmation = action.confirmation;
    const auto done = [this, life, confirmation](const Status& status, const pb::RangeResponse& response) {
      if (world_.faults() && world_.Chance(2)) return;
      world_.After(Time(world_.Draw(4)), [this, life, confirmation, status, response] {
        if (!up() || life != life_) return;
        Act([&](auto* actions) {
          core_->RevisionConfirmed(world_.now(), confirmation, status, response.header(), actions);
        });
      });
    };
    world_.After(Time(world_.Draw(4)), [this, life, server, done] {
      if (!up() || life != life_) return;
      if (!server || !server->up()) return done({Code::kUnavailable, Ending::kLost, "not connected"}, {});
      pb::RangeRequest request;
      request.set_key(kPrefix);
      server->Range(request, done);
    });
  }
  void Do(const Relay::WakeSubscriber& action) { Pump(action.subscriber); }
  void Do(const Relay::EndSubscriber& action) {
    const auto found = streams_.find(action.subscriber);
    if (found == streams_.end()) return;
    const Stream ended = std::move(found->second);
    streams_.erase(found);
    ended.end(action.status);
  }
  void Do(const Relay::RequestUpstreamProgress&) { client_->RequestProgress(); }
  void Do(const Relay::RejectUpstream& action) { world_.Violated("rejects its upstream: " + action.why); }

  void Snapshot(std::uint64_t cluster_id, std::int64_t revision, std::vector<pb::KeyValue> kvs) {
    const Relay::Status before = core_->status();
    if (before.cluster_id == cluster_id && before.revision > 0 && before.revision < revision) {
      ++world_.count().lists_again;
    }
    Act([&](auto* actions) {
      core_->UpstreamSnapshot(world_.now(), cluster_id, revision, std::move(kvs), actions);
    });
  }

  void Tamper(std::uint64_t stream, pb::WatchResponse* response) {
    switch (fault_) {
      case Mutation::kLostDelete: {
        auto* events = response->mutable_events();
        const auto deletion = std::find_if(events->begin(), events->end(), [](const pb::Event& event) {
          return event.type() == pb::Event::DELETE;
        });
        if (deletion == events->end() || !world_.Chance(5)) return;
        events->erase(deletion);
        ++world_.count().tampered;
        return;
      }
      case Mutation::kMergedDrain:
        return MergeDrain(stream, response);
      case Mutation::kEarlyProgress:
        if (response->events_size() == 0 && !response->created() && !response->canceled() &&
            core_->status().revision > response->header().revision() - 1 && world_.Chance(20)) {
          response->mutable_header()->set_revision(response->header().revision() + 1);
          ++world_.count().tampered;
        }
        return;
      default:
        return;
    }
  }
  // Joins the next message to one that has a drain, by key to the newest: the state at its end is right.
  void MergeDrain(std::uint64_t stream, pb::WatchResponse* response) {
    const auto& events = response->events();
    if (response->fragment() || std::none_of(events.begin(), events.end(), MustDeliver)) return;
    pb::WatchResponse next;
    if (!core_->Take(world_.now(), stream, 1 << 20, &next)) return;
    std::map<std::string, pb::Event> newest;
    for (const auto* message : {response, &next}) {
      for (const pb::Event& event : message->events()) newest[event.kv().key()] = event;
    }
    // Counted whenever events are joined: what they hide may lie in fragments before or after these two.
    if (next.events_size() > 0) ++world_.count().tampered;
    std::vector<pb::Event> sorted;
    for (const auto& [key, event] : newest) sorted.push_back(event);
    std::stable_sort(sorted.begin(), sorted.end(), [](const pb::Event& a, const pb::Event& b) {
      return a.kv().mod_revision() < b.kv().mod_revision();
    });
    *response = next;
    response->clear_events();
    for (const pb::Event& event : sorted) *response->add_events() = event;
  }

  World& world_;
  std::vector<Server*> upstreams_;
  Mutation fault_;
  std::unique_ptr<Relay> core_;
  std::unique_ptr<Client> client_;
  std::uint64_t life_ = 0;
  std::map<std::uint64_t, Reply> replies_;
  std::map<std::uint64_t, Stream> streams_;
  std::uint64_t rereads_ = 0, snapshots_ = 0, resumes_ = 0, slow_seen_ = 0;
};

// ------------------------------------------------------------------------------------------------- Reader

class Reader {
 public:
  Reader(World& world, std::string name, std::vector<Server*> servers)
      : world_(world), name_(std::move(name)) {
    Client::Events events;
    events.snapshot = [this](auto cluster_id, auto revision, auto kvs) {
      held_ = ToKeys(kvs);
      Move(cluster_id, revision);
    };
    events.events = [this](const etcd::Follower::Events& batch) { Events(batch); };
    events.progress = [this](std::int64_t revision) { Move(cluster_id_, revision); };
    events.lost = [](const std::string&) {};
    events.message = [](const pb::WatchResponse&) {};
    client_ = std::make_unique<Client>(world, std::move(servers), world.NextId(), std::move(events));
  }

  Client& client() { return *client_; }
  const Keys& held() const { return held_; }
  std::uint64_t cluster_id() const { return cluster_id_; }
  std::int64_t revision() const { return revision_; }

 private:
  void Events(const etcd::Follower::Events& batch) {
    const std::int64_t before = revision_;
    std::map<std::string, std::int64_t> last;  // the newest event of each key in this message
    for (const pb::Event& event : batch.events) {
      Apply(event, &held_);
      last[event.kv().key()] = event.kv().mod_revision();
    }
    Move(batch.cluster_id, batch.revision);
    // One who takes the newest event of each key in a message must see each drain.
    for (const auto& [key, revision] : world_.history().MustSee(batch.cluster_id, before, batch.revision)) {
      ++world_.count().drains_checked;
      const auto found = last.find(key);
      if (found != last.end() && found->second == revision) continue;
      world_.Violated(name_ + " never sees what happened to " + key + " at revision " +
                      std::to_string(revision) + ", within one message up to " +
                      std::to_string(batch.revision));
    }
  }

  void Move(std::uint64_t cluster_id, std::int64_t revision) {
    ++world_.count().applied;
    if (cluster_id < cluster_id_ || (cluster_id == cluster_id_ && revision < revision_)) {
      world_.Violated(name_ + " is taken back from " + std::to_string(cluster_id_) + "/" +
                      std::to_string(revision_) + " to " + std::to_string(cluster_id) + "/" +
                      std::to_string(revision));
    }
    cluster_id_ = cluster_id;
    revision_ = revision;
    if (const auto problem = world_.history().Check(cluster_id, revision, held_))
      world_.Violated(name_ + " " + *problem);
  }

  World& world_;
  std::string name_;
  Keys held_;
  std::uint64_t cluster_id_ = 0;
  std::int64_t revision_ = 0;
  std::unique_ptr<Client> client_;
};

// -------------------------------------------------------------------------------------------------- World

World::World(std::uint64_t seed, Mutation fault) : random_(seed), source_(std::make_unique<Source>(*this)) {
  Server* source = source_.get();
  relays_.push_back(std::make_unique<RelayNode>(*this, std::vector<Server*>{source}, fault));
  relays_.push_back(std::make_unique<RelayNode>(*this, std::vector<Server*>{source}, Mutation::kNone));
  Server *first = relays_[0].get(), *second = relays_[1].get();
  relays_.push_back(std::make_unique<RelayNode>(*this, std::vector<Server*>{first, second}, Mutation::kNone));
  Server* third = relays_[2].get();
  const std::vector<std::vector<Server*>> served_by = {
      {first, second}, {third}, {third, first}, {second, third, first}};
  for (std::size_t i = 0; i < 16; ++i)
    readers_.push_back(
        std::make_unique<Reader>(*this, "reader " + std::to_string(i), served_by[i % served_by.size()]));
}

// Clients leave their servers, so readers go before relays, and relays before those above them.
World::~World() {
  readers_.clear();
  while (!relays_.empty()) relays_.pop_back();
}

void World::After(Time delay, std::function<void()> what) {
  queue_.push({now_ + delay, next_order_++, std::move(what)});
}

void World::Violated(std::string what) {
  violations_.push_back("step " + std::to_string(counts_.steps) + ": " + std::move(what));
}

void World::Advance(Time by) {
  const Time until = now_ + by;
  for (;;) {
    std::optional<Time> next;
    const auto at = [&](Time time) { next = next ? std::min(*next, time) : time; };
    if (!queue_.empty()) at(queue_.top().at);
    for (const auto& relay : relays_) {
      if (const auto wake = relay->NextWake()) at(*wake);
    }
    for (const auto& reader : readers_) at(reader->client().follower().NextWake());
    if (!next || *next > until) break;
    now_ = std::max(now_, *next);
    if (!queue_.empty() && queue_.top().at <= now_) {
      const auto what = queue_.top().what;
      queue_.pop();
      what();
      continue;
    }
    for (const auto& relay : relays_) relay->Tick();
    for (const auto& reader : readers_) reader->client().Tick();
  }
  now_ = until;
}

void World::Write() {
  pb::TxnRequest request;
  const auto put = [&](unsigned key) {
    auto* op = request.add_success()->mutable_request_put();
    op->set_key(kPrefix + "k" + std::to_string(key));
    op->set_value((Chance(35) ? "drain" : "ready") + std::to_string(next_value_++));
  };
  switch (Draw(10)) {
    case 0:
    case 1: {
      auto* op = request.add_success()->mutable_request_delete_range();
      op->set_key(kPrefix + "k" + std::to_string(Draw(kKeys)));
      if (Chance(20)) op->set_range_end(kPrefix + "k5");  // several at once
      break;
    }
    case 2:  // outside the prefix
      request.add_success()->mutable_request_put()->set_key("/elsewhere");
      break;
    case 3:  // several in one revision
      for (unsigned key = Draw(kKeys); key < kKeys; key += 1 + Draw(3)) put(key);
      break;
    default:
      put(Draw(kKeys));
  }
  source_->Txn(request);
}

Client& World::AnyClient() {
  const unsigned i = Draw(static_cast<unsigned>(readers_.size() + relays_.size()));
  if (i < readers_.size()) return readers_[i]->client();
  RelayNode& relay = *relays_[i - readers_.size()];
  return relay.up() ? relay.upstream() : readers_[0]->client();
}

// A linearizable read of all at a relay: it must see what was written before it began.
void World::ReadSomewhere() {
  RelayNode& relay = *relays_[Draw(3)];
  if (!relay.up()) return;
  const std::uint64_t cluster_id = source_->cluster_id();
  const std::int64_t revision = source_->store().revision();
  relay.Range(ListAll(), [this, cluster_id, revision](const Status& status,
                                                      const pb::RangeResponse& response) {
    if (!status.ok()) return;
    ++counts_.reads;
    const auto& header = response.header();
    if (header.cluster_id() < cluster_id ||
        (header.cluster_id() == cluster_id && header.revision() < revision))
      Violated("a linearizable read is answered at revision " + std::to_string(header.revision()) +
               ", begun after " + std::to_string(revision));
    if (const auto problem = history_.Check(header.cluster_id(), header.revision(), ToKeys(response.kvs())))
      Violated("a read " + *problem);
  });
}

void World::CheckBounds() {
  for (const auto& relay : relays_) relay->CheckBounds();
}

void World::Step() {
  ++counts_.steps;
  const unsigned what = Draw(1000);
  if (what < 350) {
    Write();
  } else if (what < 390) {
    ReadSomewhere();
  } else if (what < 400) {
    AnyClient().Cut();
  } else if (what < 425) {
    Client& client = AnyClient();
    ++counts_.stalls;
    client.Stall(!client.stalled());
  } else if (what < 430) {
    source_->Compact();
  } else if (what < 432) {
    RelayNode& relay = *relays_[Draw(3)];
    ++counts_.restarts;
    if (relay.up()) {
      relay.Stop();
    } else {
      relay.Start();
    }
  } else if (what < 440) {
    for (const auto& relay : relays_) {
      if (!relay->up()) relay->Start();
    }
  } else if (what < 442) {
    ++counts_.outages;
    source_->SetLeader(false);
  } else if (what < 450) {
    source_->SetLeader(true);
  } else if (what < 451 && Chance(50)) {
    source_->Restore();
  } else if (what < 470) {
    source_->NotifyProgress();
  } else {
    Advance(Time(Draw(what < 990 ? 12 : 400)));
  }
  CheckBounds();
}

bool World::Converge() {
  faults_ = false;
  source_->SetLeader(true);
  for (const auto& relay : relays_) {
    if (!relay->up()) relay->Start();
    relay->upstream().Stall(false);
  }
  for (const auto& reader : readers_) reader->client().Stall(false);
  const auto equal = [this] {
    const Keys* now = history_.At(source_->cluster_id(), source_->store().revision());
    return std::all_of(readers_.begin(), readers_.end(), [&](const auto& reader) {
      return reader->cluster_id() == source_->cluster_id() && reader->held() == *now;
    });
  };
  for (int i = 0; i < 600 && !equal(); ++i) {
    Advance(Time(100));
    source_->NotifyProgress();
    CheckBounds();
  }
  return equal();
}

Counts World::counts() const {
  Counts counts = counts_;
  for (const auto& relay : relays_) relay->AddCounts(&counts);
  for (const auto& reader : readers_) {
    counts.snapshots += reader->client().follower().snapshots();
    counts.resumes += reader->client().follower().resumes();
  }
  return counts;
}

}  // namespace badgerbridge::watch_cache
