// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The source's state and events by revision.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_HISTORY_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "watch_cache/simulation_keys.h"

namespace badgerbridge::watch_cache::simulation {

/// All states that the source ever had, by cluster id and revision.
class History {
 public:
  void RecordState(std::uint64_t cluster_id, std::int64_t revision, KeyTexts keys);
  void RecordEvent(std::uint64_t cluster_id, const pb::Event& event);

  /// The state at a revision. Null: there was none.
  const KeyTexts* At(std::uint64_t cluster_id, std::int64_t revision) const;
  /// Describes how `held` differs from the source's state at this revision. Empty: they are equal.
  std::optional<std::string> Check(std::uint64_t cluster_id, std::int64_t revision,
                                   const KeyTexts& held) const;
  /// By key, the revision of the newest event in (from, to] that must be delivered. Keys with a newer such
  /// event after `to` are left out, because that event may replace it.
  std::map<std::string, std::int64_t> RequiredEvents(std::uint64_t cluster_id, std::int64_t from,
                                                     std::int64_t to) const;

 private:
  struct Cluster {
    std::map<std::int64_t, KeyTexts> states;
    std::map<std::int64_t, std::vector<std::string>> must_deliver;  // keys by revision
    std::map<std::string, std::int64_t> newest_must_deliver;
  };
  std::map<std::uint64_t, Cluster> clusters_;
};

}  // namespace badgerbridge::watch_cache::simulation

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_HISTORY_H_
