// SPDX-License-Identifier: Apache-2.0
#include "proxy/recent_ids.h"

#include <functional>

namespace badgerbridge::proxy {

namespace {

constexpr Duration kRetention{10000};

}  // namespace

RecentIds::IdHash RecentIds::HashOf(std::string_view id) { return std::hash<std::string_view>()(id); }

RecentIds::AddResult RecentIds::Add(IdHash id, bool is_idempotent, TimePoint now) {
  RemoveExpired(idempotent_, now);
  RemoveExpired(not_idempotent_, now);
  if (positions_.contains(id)) return AddResult::kDuplicate;
  if (!MakeRoom(now)) return AddResult::kFull;
  Entries& entries = is_idempotent ? idempotent_ : not_idempotent_;
  Entries added;
  added.push_back({now, id});
  positions_.emplace(id, Position{&entries, added.begin()});
  entries.splice(entries.end(), added);
  return AddResult::kAdded;
}

void RecentIds::Remove(IdHash id) noexcept {
  const auto found = positions_.find(id);
  if (found == positions_.end()) return;
  found->second.entries->erase(found->second.at);
  positions_.erase(found);
}

void RecentIds::RemoveExpired(Entries& entries, TimePoint now) {
  while (!entries.empty() && entries.front().added_at + kRetention < now) RemoveOldest(entries);
}

bool RecentIds::MakeRoom(TimePoint now) {
  if (positions_.size() < max_ids_) return true;
  if (!idempotent_.empty()) {
    RemoveOldest(idempotent_);
    return true;
  }
  if (not_idempotent_.empty() || not_idempotent_.front().added_at + min_retention_ >= now) return false;
  RemoveOldest(not_idempotent_);
  return true;
}

void RecentIds::RemoveOldest(Entries& entries) {
  positions_.erase(entries.front().id);
  entries.pop_front();
}

}  // namespace badgerbridge::proxy
