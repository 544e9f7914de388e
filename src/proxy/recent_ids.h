// SPDX-License-Identifier: Apache-2.0
//
// The ids of recently accepted requests, used to detect duplicates.
#ifndef BADGERBRIDGE_PROXY_RECENT_IDS_H_
#define BADGERBRIDGE_PROXY_RECENT_IDS_H_

#include <cstddef>
#include <list>
#include <string_view>
#include <unordered_map>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// A bounded set of ids, stored as hashes. Each is kept for 10 s, which is longer than any request and its
/// attempts last. Beyond the bound, ids of idempotent requests are dropped first, since repeating those has
/// no further effect; an id of another request is dropped early only after `min_retention`. Reads no clock:
/// the caller passes the time.
class RecentIds {
 public:
  /// The form in which an id is stored.
  using IdHash = std::size_t;

  /// The result of Add().
  enum class AddResult {
    kAdded,      ///< the id is in the set now
    kDuplicate,  ///< the id is in the set already: a request with it may be open or executing at a backend
    kFull,       ///< there is no room that may be freed yet
  };

  /// Keeps at most `max_ids` ids, and those of requests that are not idempotent for at least `min_retention`.
  RecentIds(std::size_t max_ids, Duration min_retention) : max_ids_(max_ids), min_retention_(min_retention) {}

  /// Returns the stored form of an id.
  static IdHash HashOf(std::string_view id);
  /// Adds an id, unless it is in the set or there is no room. Throws std::bad_alloc and changes nothing then.
  AddResult Add(IdHash id, bool is_idempotent, TimePoint now);
  /// Removes an id whose request was never sent to a backend, so that it takes no room of another.
  void Remove(IdHash id) noexcept;

  /// Number of ids in the set, at most `max_ids`.
  std::size_t size() const { return positions_.size(); }

 private:
  struct Entry {
    TimePoint added_at;
    IdHash id;
  };
  using Entries = std::list<Entry>;  // oldest first
  struct Position {
    Entries* entries;
    Entries::iterator at;
  };

  void RemoveExpired(Entries& entries, TimePoint now);
  bool MakeRoom(TimePoint now);
  void RemoveOldest(Entries& entries);

  std::size_t max_ids_;
  Duration min_retention_;
  std::unordered_map<IdHash, Position> positions_;
  Entries idempotent_;
  Entries not_idempotent_;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_RECENT_IDS_H_
