// SPDX-License-Identifier: Apache-2.0

/// @file
/// Queue of member changes that have not been delivered to the proxy yet. Keeps the newest change of each
/// member and returns drains and departures first. Pure: no I/O, no clock.
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

/// A queue with two priorities and at most one change of each member. Not thread-safe.
class PendingChanges {
 public:
  /// Adds a change. It replaces a pending change of the same member, and takes its position if both have the
  /// same priority.
  void Add(const Member& member);
  /// Removes and returns up to `max_members` changes: drains and departures first, then the others, each
  /// priority in the order of insertion.
  std::vector<Member> TakeSlice(std::size_t max_members);

  /// Whether no change is pending.
  bool empty() const { return changes_.empty(); }
  /// The number of members with a pending change.
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
