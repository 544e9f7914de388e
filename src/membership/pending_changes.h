// SPDX-License-Identifier: Apache-2.0
//
// Changes of the members' list that the proxy has not been given yet: the newest of each member, in slices,
// drains and departures before all else. Pure.
#ifndef BADGERBRIDGE_MEMBERSHIP_PENDING_CHANGES_H_
#define BADGERBRIDGE_MEMBERSHIP_PENDING_CHANGES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/ledger.h"

namespace badgerbridge::membership {

class PendingChanges {
 public:
  // Replaces an earlier change of the same member.
  void Add(const Member& member);
  // Takes up to `max_members` out: drains and departures first, each kind in the order in which it was added.
  std::vector<Member> TakeSlice(std::size_t max_members);

  bool empty() const { return changes_.empty(); }
  std::size_t size() const { return changes_.size(); }
  bool HasUrgent() const { return !empty() && changes_.begin()->first.urgency == Urgency::kLeaving; }

 private:
  enum class Urgency { kLeaving, kOther };
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
