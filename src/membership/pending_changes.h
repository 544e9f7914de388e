// SPDX-License-Identifier: Apache-2.0

/// @file
/// Changes of the members' list that the proxy has not been given yet: the newest of each member, in slices,
/// drains and departures before all else. Pure.
#ifndef BADGERBRIDGE_MEMBERSHIP_PENDING_CHANGES_H_
#define BADGERBRIDGE_MEMBERSHIP_PENDING_CHANGES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/member.h"

namespace badgerbridge::membership {

/// A queue of changes with two priorities that holds one change of each member. Not thread-safe.
class PendingChanges {
 public:
  /// Adds a change; replaces an earlier change of the same member, which keeps its place if it is as urgent.
  void Add(const Member& member);
  /// Removes up to `max_members` and returns them: drains and departures first, each priority in the order in
  /// which changes were added.
  std::vector<Member> TakeSlice(std::size_t max_members);

  /// Whether nothing is pending.
  bool empty() const { return changes_.empty(); }
  /// How many members have a pending change.
  std::size_t size() const { return changes_.size(); }
  /// Whether a drain or a departure is pending.
  bool HasUrgent() const { return !empty() && changes_.begin()->first.urgency == Urgency::kDrainOrDeparture; }

 private:
  enum class Urgency { kDrainOrDeparture, kOther };
  struct Position {
    Urgency urgency;
    std::uint64_t sequence;
    auto operator<=>(const Position&) const = default;
  };

  std::map<Position, Member> changes_;
  std::unordered_map<std::string, Position> positions_;  // by name
  std::uint64_t next_sequence_ = 0;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_PENDING_CHANGES_H_
