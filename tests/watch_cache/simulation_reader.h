// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A simulated reader.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_READER_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_READER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "watch_cache/simulation_client.h"
#include "watch_cache/world.h"

namespace badgerbridge::watch_cache::simulation {

/// A reader that checks its state whenever it has applied a message.
class Reader {
 public:
  Reader(World& world, std::string name, std::vector<Server*> servers)
      : world_(world), name_(std::move(name)) {
    Client::Events events;
    events.snapshot = [this](auto cluster_id, auto revision, auto kvs) {
      held_ = ToKeyTexts(kvs);
      AdvanceTo(cluster_id, revision);
    };
    events.events = [this](const etcd::Follower::Events& batch) { ApplyEvents(batch); };
    events.progress = [this](std::int64_t revision) { AdvanceTo(cluster_id_, revision); };
    events.lost = [](const std::string&) {};
    events.message = [](const pb::WatchResponse&) {};
    client_ = std::make_unique<Client>(world, std::move(servers), world.NextId(), std::move(events));
  }

  Client& client() { return *client_; }
  const KeyTexts& held() const { return held_; }
  std::uint64_t cluster_id() const { return cluster_id_; }
  std::int64_t revision() const { return revision_; }

 private:
  void ApplyEvents(const etcd::Follower::Events& batch) {
    const std::int64_t before = revision_;
    std::map<std::string, std::int64_t> newest;  // revision of the newest event of each key in this message
    for (const pb::Event& event : batch.events) {
      Apply(event, &held_);
      newest[event.kv().key()] = event.kv().mod_revision();
    }
    AdvanceTo(batch.cluster_id, batch.revision);
    // A reader that applies only the newest event of each key in a message must still get each drain.
    for (const auto& [key, revision] :
         world_.history().RequiredEvents(batch.cluster_id, before, batch.revision)) {
      ++world_.count().checked_drains;
      const auto found = newest.find(key);
      if (found != newest.end() && found->second == revision) continue;
      world_.AddViolation(name_ + " does not get the event of " + key + " at revision " +
                          std::to_string(revision) + ", within one message up to " +
                          std::to_string(batch.revision));
    }
  }

  void AdvanceTo(std::uint64_t cluster_id, std::int64_t revision) {
    ++world_.count().applied;
    if (cluster_id < cluster_id_ || (cluster_id == cluster_id_ && revision < revision_)) {
      world_.AddViolation(name_ + " went back from " + std::to_string(cluster_id_) + "/" +
                          std::to_string(revision_) + " to " + std::to_string(cluster_id) + "/" +
                          std::to_string(revision));
    }
    cluster_id_ = cluster_id;
    revision_ = revision;
    if (const auto problem = world_.history().Check(cluster_id, revision, held_))
      world_.AddViolation(name_ + " " + *problem);
  }

  World& world_;
  std::string name_;
  KeyTexts held_;
  std::uint64_t cluster_id_ = 0;
  std::int64_t revision_ = 0;
  std::unique_ptr<Client> client_;
};

}  // namespace badgerbridge::watch_cache::simulation

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_READER_H_
