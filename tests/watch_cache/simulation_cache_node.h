// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A simulated server that runs the core of a watch cache.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_CACHE_NODE_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_CACHE_NODE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "watch_cache/simulation_client.h"
#include "watch_cache/watch_cache.h"
#include "watch_cache/world.h"

namespace badgerbridge::watch_cache::simulation {

using etcd::Code;
using etcd::Ending;
using etcd::Status;

/// Maximum size of a message to a watch that accepts fragments.
constexpr std::size_t kMaxFragmentBytes = 400;

/// A watch cache as a server, with its own connection upstream.
class CacheNode : public Server {
 public:
  CacheNode(World& world, std::vector<Server*> upstreams, Mutation mutation)
      : world_(world), upstreams_(std::move(upstreams)), mutation_(mutation) {
    Start();
  }

  bool up() const override { return cache_ != nullptr; }
  Client& upstream() { return *client_; }
  const WatchCache& core() const { return *cache_; }

  void Start() {
    cache_ = std::make_unique<WatchCache>(CacheSettings());
    ++incarnation_;
    Client::Events events;
    events.snapshot = [this](auto cluster_id, auto revision, auto kvs) {
      Snapshot(cluster_id, revision, std::move(kvs));
    };
    events.events = [this](const etcd::Follower::Events& batch) {
      CallCore([&](auto* actions) {
        cache_->UpstreamEvents(world_.now(), batch.revision, batch.events, actions);
      });
    };
    events.progress = [this](std::int64_t revision) {
      CallCore([&](auto* actions) { cache_->UpstreamProgress(world_.now(), revision, actions); });
    };
    events.lost = [this](const std::string& why) {
      CallCore([&](auto* actions) { cache_->UpstreamLost(world_.now(), why, actions); });
    };
    events.message = [](const pb::WatchResponse&) {};
    client_ = std::make_unique<Client>(world_, upstreams_, world_.NextId(), std::move(events));
  }

  /// Kills the server: its connections end, and its state is lost.
  void Stop() {
    compacted_watches_ += cache_->status().compacted;
    snapshots_ += client_->follower().snapshots();
    resumes_ += client_->follower().resumes();
    client_.reset();
    cache_.reset();
    replies_.clear();
    for (const auto& [id, stream] : std::exchange(streams_, {}))
      stream.end({Code::kUnavailable, Ending::kLost, "killed"});
  }

  void Tick() {
    if (!up()) return;
    client_->Tick();
    const auto wake = cache_->NextWake();
    if (wake && *wake <= world_.now()) CallCore([&](auto* actions) { cache_->Tick(world_.now(), actions); });
  }
  std::optional<Time> NextWake() const {
    if (!up()) return std::nullopt;
    const Time follower = client_->follower().NextWake();
    const auto core = cache_->NextWake();
    return core ? std::min(*core, follower) : follower;
  }

  void Range(const pb::RangeRequest& request, Reply reply) override {
    const std::uint64_t id = world_.NextId();
    replies_[id] = std::move(reply);
    CallCore([&](auto* actions) { cache_->Read(world_.now(), id, request, actions); });
  }

  void Watch(Stream stream, const pb::WatchCreateRequest& request) override {
    const std::uint64_t id = stream.id;
    streams_[id] = std::move(stream);
    pb::WatchCreateRequest effective_request = request;
    if (mutation_ == Mutation::kWrongResume && effective_request.start_revision() > 0 && world_.Chance(30)) {
      effective_request.set_start_revision(effective_request.start_revision() + 1);
      ++world_.count().tampered_messages;
    }
    CallCore([&](auto* actions) { cache_->Subscribe(world_.now(), id, effective_request, actions); });
  }
  void CancelWatch(std::uint64_t stream) override {
    if (!streams_.erase(stream) || !up()) return;
    cache_->Unsubscribe(stream);
  }
  void RequestProgress(std::uint64_t stream) override {
    if (streams_.count(stream))
      CallCore([&](auto* actions) { cache_->RequestProgress(world_.now(), stream, actions); });
  }
  void SendPending(std::uint64_t stream) override {
    for (;;) {
      const auto found = streams_.find(stream);
      if (found == streams_.end() || !up() || !found->second.can_send()) return;
      auto response = cache_->NextMessage(world_.now(), stream, kMaxFragmentBytes);
      if (!response) return;
      Tamper(stream, &*response);
      if (response->fragment()) ++world_.count().fragments;
      const Stream to = found->second;
      if (response->canceled()) streams_.erase(found);
      to.send(*response);
    }
  }

  void CheckBounds() {
    if (!up()) return;
    const Settings settings = CacheSettings();
    const WatchCache::Status status = cache_->status();
    const auto expect_bound = [&](const char* name, std::size_t value, std::size_t bound) {
      if (value <= bound) return;
      world_.AddViolation(std::string(name) + " is " + std::to_string(value) + ", bound " +
                          std::to_string(bound));
    };
    expect_bound("window_events", status.window_events, settings.max_window_events);
    expect_bound("window_bytes", status.window_bytes, settings.max_window_bytes);
    expect_bound("merged_events", status.merged_events, settings.max_merged_events * status.slow_subscribers);
    expect_bound("slow_subscribers", status.slow_subscribers, status.subscribers);
    expect_bound("subscribers", status.subscribers, streams_.size());
    expect_bound("waiting_reads", status.waiting_reads, replies_.size());
    expect_bound("keys", status.keys, kKeys);
    if (status.compact_revision > status.revision)
      world_.AddViolation("the compact revision is above the current revision");
    if (status.upstream_rejections > 0)
      world_.AddViolation("a cache rejects its upstream: " + status.last_upstream_error);
    slow_subscribers_seen_ += status.slow_subscribers;
  }
  void AddCounts(Counts* counts) const {
    counts->compacted_watches += compacted_watches_ + (up() ? cache_->status().compacted : 0);
    counts->snapshots += snapshots_ + (up() ? client_->follower().snapshots() : 0);
    counts->resumes += resumes_ + (up() ? client_->follower().resumes() : 0);
    counts->slow_subscribers_seen += slow_subscribers_seen_;
  }

 private:
  template <typename Step>
  void CallCore(Step step) {
    if (!up()) return;
    WatchCache::Actions actions;
    step(&actions);
    const std::uint64_t incarnation = incarnation_;
    for (WatchCache::Action& action : actions) {
      if (!up() || incarnation != incarnation_) return;
      std::visit([this](auto& one) { Perform(one); }, action);
    }
  }
  void Perform(WatchCache::AnswerRead& action) {
    const auto found = replies_.find(action.read);
    if (found == replies_.end()) return world_.AddViolation("a read is answered twice");
    const Reply reply = std::move(found->second);
    replies_.erase(found);
    reply(action.status, action.response);
  }
  // Sent on another connection to the followed upstream. The response may be lost.
  void Perform(const WatchCache::ConfirmRevision& action) {
    Server* server = client_->server();
    const std::uint64_t incarnation = incarnation_;
    const std::uint64_t confirmation = action.confirmation;
    const auto done = [this, incarnation, confirmation](const Status& status,
                                                        const pb::RangeResponse& response) {
      if (world_.faults_enabled() && world_.Chance(2)) return;
      world_.After(Time(world_.Draw(4)), [this, incarnation, confirmation, status, response] {
        if (!up() || incarnation != incarnation_) return;
        CallCore([&](auto* actions) {
          cache_->RevisionConfirmed(world_.now(), confirmation, status, response.header(), actions);
        });
      });
    };
    world_.After(Time(world_.Draw(4)), [this, incarnation, server, done] {
      if (!up() || incarnation != incarnation_) return;
      if (!server || !server->up()) return done({Code::kUnavailable, Ending::kLost, "not connected"}, {});
      pb::RangeRequest request;
      request.set_key(kPrefix);
      server->Range(request, done);
    });
  }
  void Perform(const WatchCache::WakeSubscriber& action) { SendPending(action.subscriber); }
  void Perform(const WatchCache::EndSubscriber& action) {
    const auto found = streams_.find(action.subscriber);
    if (found == streams_.end()) return;
    const Stream ended = std::move(found->second);
    streams_.erase(found);
    ended.end(action.status);
  }
  void Perform(const WatchCache::RequestUpstreamProgress&) { client_->RequestProgress(); }
  void Perform(const WatchCache::RejectUpstream& action) {
    world_.AddViolation("a cache rejects its upstream: " + action.reason);
  }

  void Snapshot(std::uint64_t cluster_id, std::int64_t revision, std::vector<pb::KeyValue> kvs) {
    const WatchCache::Status before = cache_->status();
    if (before.cluster_id == cluster_id && before.revision > 0 && before.revision < revision) {
      ++world_.count().repeated_lists;
    }
    CallCore([&](auto* actions) {
      cache_->UpstreamSnapshot(world_.now(), cluster_id, revision, std::move(kvs), actions);
    });
  }

  void Tamper(std::uint64_t stream, pb::WatchResponse* response) {
    switch (mutation_) {
      case Mutation::kLostDelete:
        return RemoveDeletion(response);
      case Mutation::kMergedDrain:
        return MergeDrain(stream, response);
      case Mutation::kEarlyProgress:
        return AdvanceProgress(response);
      default:
        return;
    }
  }

  void RemoveDeletion(pb::WatchResponse* response) {
    auto* events = response->mutable_events();
    const auto deletion = std::find_if(events->begin(), events->end(), [](const pb::Event& event) {
      return event.type() == pb::Event::DELETE;
    });
    if (deletion == events->end() || !world_.Chance(5)) return;
    events->erase(deletion);
    ++world_.count().tampered_messages;
  }

  void AdvanceProgress(pb::WatchResponse* response) {
    const bool is_progress = response->events_size() == 0 && !response->created() && !response->canceled();
    if (!is_progress || cache_->status().revision <= response->header().revision() - 1) return;
    if (!world_.Chance(20)) return;
    response->mutable_header()->set_revision(response->header().revision() + 1);
    ++world_.count().tampered_messages;
  }

  // Merges the next message into one with a drain, keeping the newest event of each key: the state at its end
  // is correct, but the drain may be replaced.
  void MergeDrain(std::uint64_t stream, pb::WatchResponse* response) {
    const auto& events = response->events();
    if (response->fragment() || std::none_of(events.begin(), events.end(), MustBeDelivered)) return;
    constexpr std::size_t kMaxJoinedBytes = 1 << 20;
    const auto next = cache_->NextMessage(world_.now(), stream, kMaxJoinedBytes);
    if (!next) return;
    std::map<std::string, pb::Event> newest;
    for (const pb::WatchResponse* message : {static_cast<const pb::WatchResponse*>(response), &*next}) {
      for (const pb::Event& event : message->events()) newest[event.kv().key()] = event;
    }
    // Counted whenever events are merged, because the replaced event may be in an earlier or later fragment.
    if (next->events_size() > 0) ++world_.count().tampered_messages;
    std::vector<pb::Event> sorted;
    for (const auto& [key, event] : newest) sorted.push_back(event);
    std::stable_sort(sorted.begin(), sorted.end(), [](const pb::Event& a, const pb::Event& b) {
      return a.kv().mod_revision() < b.kv().mod_revision();
    });
    *response = *next;
    response->clear_events();
    for (const pb::Event& event : sorted) *response->add_events() = event;
  }

  World& world_;
  std::vector<Server*> upstreams_;
  Mutation mutation_;
  std::unique_ptr<WatchCache> cache_;
  std::unique_ptr<Client> client_;
  std::uint64_t incarnation_ = 0;
  std::map<std::uint64_t, Reply> replies_;
  std::map<std::uint64_t, Stream> streams_;
  std::uint64_t compacted_watches_ = 0;
  std::uint64_t snapshots_ = 0;
  std::uint64_t resumes_ = 0;
  std::uint64_t slow_subscribers_seen_ = 0;
};

}  // namespace badgerbridge::watch_cache::simulation

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_CACHE_NODE_H_
