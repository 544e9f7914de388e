// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The simulated source.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_SOURCE_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_SOURCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "standins/etcd_store.h"
#include "watch_cache/simulation_client.h"
#include "watch_cache/world.h"

namespace badgerbridge::watch_cache::simulation {

using etcd::Code;
using etcd::Ending;
using etcd::Status;

/// The source: a server with the store of the etcd stand-in.
class Source : public Server {
 public:
  explicit Source(World& world) : world_(world) { RecordStates(0); }

  bool up() const override { return true; }
  standins::EtcdStore& store() { return store_; }
  std::uint64_t cluster_id() const { return cluster_id_; }
  /// Without a leader, reads fail.
  void SetLeader(bool has_leader) { has_leader_ = has_leader; }

  void Txn(const pb::TxnRequest& request) {
    const std::int64_t before = store_.revision();
    pb::TxnResponse response;
    const Status status = store_.Txn(request, &response);
    if (!status.ok()) return world_.AddViolation("the store rejects a write: " + status.ToString());
    RecordStates(before);
    SendPendingToAll();
  }

  /// Compacts a random part of the history.
  void Compact() {
    const std::int64_t uncompacted = store_.revision() - store_.compacted();
    if (uncompacted < 2) return;
    if (store_.Compact(store_.compacted() + 1 + world_.Draw(static_cast<unsigned>(uncompacted))).ok())
      ++world_.count().compactions;
  }

  /// Replaces the cluster by a restored backup with another cluster id and a lower revision. Watches end.
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
    RecordStates(0);
    Txn(request);
  }

  void Range(const pb::RangeRequest& request, Reply reply) override {
    pb::RangeResponse response;
    SetHeader(&response);
    if (!has_leader_) return reply({Code::kUnavailable, Ending::kStatus, "no leader"}, response);
    const Status status = store_.Range(request, &response);
    reply(status, response);
  }

  void Watch(Stream stream, const pb::WatchCreateRequest& request) override {
    pb::WatchResponse response;
    SetHeader(&response);
    response.set_created(true);
    stream.send(response);
    const std::uint64_t id = stream.id;
    watches_[id] = {std::move(stream), request.start_revision()};
    SendPending(id);
  }
  void CancelWatch(std::uint64_t stream) override { watches_.erase(stream); }
  void RequestProgress(std::uint64_t stream) override {
    const auto found = watches_.find(stream);
    if (found == watches_.end() || found->second.next <= store_.revision())
      return;  // progress is sent only after all events
    pb::WatchResponse response;
    SetHeader(&response);
    found->second.stream.send(response);
  }
  void NotifyProgress() {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, watch] : watches_) ids.push_back(id);
    for (const std::uint64_t id : ids) RequestProgress(id);
  }

  void SendPending(std::uint64_t stream) override {
    const auto found = watches_.find(stream);
    if (found == watches_.end() || found->second.next > store_.revision()) return;
    WatchState& watch = found->second;
    if (!watch.stream.can_send()) return;
    pb::WatchResponse response;
    SetHeader(&response);
    if (watch.next <= store_.compacted()) {
      response.set_canceled(true);
      response.set_compact_revision(store_.compacted());
      const Stream canceled = std::move(watch.stream);
      watches_.erase(found);
      return canceled.send(response);
    }
    // All events at once, as etcd does for a watch that catches up, possibly in fragments.
    const auto events = store_.Events(kPrefix, kPrefixEnd, watch.next, false);
    watch.next = store_.revision() + 1;
    if (events.empty()) return;
    const std::vector<pb::WatchResponse> fragments = Fragments(response, events);
    const Stream to = watch.stream;
    for (const pb::WatchResponse& fragment : fragments) to.send(fragment);
  }

 private:
  struct WatchState {
    Stream stream;
    std::int64_t next = 0;
  };

  std::vector<pb::WatchResponse> Fragments(pb::WatchResponse response, const std::vector<pb::Event>& events) {
    const std::size_t max_fragment_events = world_.Chance(50) ? events.size() : 1 + world_.Draw(4);
    std::vector<pb::WatchResponse> fragments;
    for (std::size_t i = 0; i < events.size(); ++i) {
      *response.add_events() = events[i];
      const bool is_last = i + 1 == events.size();
      if (!is_last && static_cast<std::size_t>(response.events_size()) < max_fragment_events) continue;
      response.set_fragment(!is_last);
      fragments.push_back(response);
      response.clear_events();
    }
    return fragments;
  }

  template <typename Response>
  void SetHeader(Response* response) const {
    response->mutable_header()->set_cluster_id(cluster_id_);
    response->mutable_header()->set_revision(store_.revision());
  }
  void RecordStates(std::int64_t before) {
    for (std::int64_t revision = before + 1; revision <= store_.revision(); ++revision) {
      pb::RangeRequest all = ListAll();
      all.set_revision(revision);
      pb::RangeResponse response;
      if (store_.Range(all, &response).ok())
        world_.history().RecordState(cluster_id_, revision, ToKeyTexts(response.kvs()));
    }
    for (const pb::Event& event : store_.Events(kPrefix, kPrefixEnd, before + 1, false))
      world_.history().RecordEvent(cluster_id_, event);
  }
  void SendPendingToAll() {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, watch] : watches_) ids.push_back(id);
    for (const std::uint64_t id : ids) {
      if (!world_.Chance(30)) SendPending(id);  // otherwise they are sent after the next write
    }
  }

  World& world_;
  standins::EtcdStore store_;
  std::uint64_t cluster_id_ = 1;
  bool has_leader_ = true;
  std::map<std::uint64_t, WatchState> watches_;
};

}  // namespace badgerbridge::watch_cache::simulation

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_SOURCE_H_
