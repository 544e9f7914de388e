// SPDX-License-Identifier: Apache-2.0
//
// The ids of recently accepted requests, used to detect duplicates.
#ifndef BADGERBRIDGE_PROXY_RECENT_IDS_H_
#define BADGERBRIDGE_PROXY_RECENT_IDS_H_

#include <cstddef>
#include <deque>
#include <string_view>
#include <unordered_set>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// A bounded set of ids, stored as hashes. Each is kept for 10 s, which is longer than any request and its
/// attempts last. Reads no clock: the caller passes the time.
class RecentIds {
 public:
  /// Keeps at most `max_ids` ids; the oldest are dropped first.
  explicit RecentIds(std::size_t max_ids) : max_ids_(max_ids) {}

  /// Adds an id. False if it is already in the set: a request with this id is open or may still be executing
  /// at a backend, which could not distinguish the two. Throws std::bad_alloc.
  bool Add(std::string_view id, TimePoint now);

  /// Number of ids in the set, at most `max_ids`.
  std::size_t size() const { return hashes_.size(); }

 private:
  struct Entry {
    TimePoint added_at;
    std::size_t hash;
  };

  void RemoveExpired(TimePoint now);

  std::size_t max_ids_;
  std::unordered_set<std::size_t> hashes_;
  std::deque<Entry> by_age_;  // oldest first
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_RECENT_IDS_H_
