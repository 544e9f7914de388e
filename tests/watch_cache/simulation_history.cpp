// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/simulation_history.h"

#include <utility>

namespace badgerbridge::watch_cache::simulation {

namespace {

std::string Text(const KeyTexts& texts) {
  std::string text;
  for (const auto& [key, value] : texts) text += " " + key + "=" + value;
  return text;
}

}  // namespace

void History::RecordState(std::uint64_t cluster_id, std::int64_t revision, KeyTexts keys) {
  clusters_[cluster_id].states[revision] = std::move(keys);
}

void History::RecordEvent(std::uint64_t cluster_id, const pb::Event& event) {
  Cluster& cluster = clusters_[cluster_id];
  const std::int64_t revision = event.kv().mod_revision();
  if (!MustBeDelivered(event)) return;
  cluster.must_deliver[revision].push_back(event.kv().key());
  cluster.newest_must_deliver[event.kv().key()] = revision;
}

const KeyTexts* History::At(std::uint64_t cluster_id, std::int64_t revision) const {
  const auto cluster = clusters_.find(cluster_id);
  if (cluster == clusters_.end()) return nullptr;
  const auto state = cluster->second.states.find(revision);
  return state == cluster->second.states.end() ? nullptr : &state->second;
}

std::optional<std::string> History::Check(std::uint64_t cluster_id, std::int64_t revision,
                                          const KeyTexts& held) const {
  const KeyTexts* state = At(cluster_id, revision);
  const std::string at = " at revision " + std::to_string(revision) + " of " + std::to_string(cluster_id);
  if (!state) return "has a revision that never existed," + at;
  if (held == *state) return std::nullopt;
  return "holds" + Text(held) + at + ", but the source held" + Text(*state);
}

std::map<std::string, std::int64_t> History::RequiredEvents(std::uint64_t cluster_id, std::int64_t from,
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

}  // namespace badgerbridge::watch_cache::simulation
