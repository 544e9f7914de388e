// SPDX-License-Identifier: Apache-2.0
#include "membership/pending_changes.h"

#include <utility>

namespace badgerbridge::membership {

void PendingChanges::Add(const Member& member) {
  const Urgency urgency = member.state == MemberState::kReady ? Urgency::kOther : Urgency::kDrainOrDeparture;
  const auto pending = positions_.find(member.name);
  if (pending != positions_.end()) {
    if (pending->second.urgency == urgency) {
      changes_[pending->second] = member;
      return;
    }
    changes_.erase(pending->second);
  }
  const Position position{urgency, next_sequence_++};
  positions_[member.name] = position;
  changes_.emplace(position, member);
}

std::vector<Member> PendingChanges::TakeSlice(std::size_t max_members) {
  std::vector<Member> slice;
  while (slice.size() < max_members && !changes_.empty()) {
    const auto first = changes_.begin();
    positions_.erase(first->second.name);
    slice.push_back(std::move(first->second));
    changes_.erase(first);
  }
  return slice;
}

}  // namespace badgerbridge::membership
