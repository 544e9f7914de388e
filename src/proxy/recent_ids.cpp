// SPDX-License-Identifier: Apache-2.0
#include "proxy/recent_ids.h"

#include <functional>

namespace badgerbridge::proxy {

namespace {

constexpr Duration kRetention{10000};

}  // namespace

bool RecentIds::Add(std::string_view id, TimePoint now) {
  RemoveExpired(now);
  const std::size_t hash = std::hash<std::string_view>()(id);
  if (!hashes_.insert(hash).second) return false;
  by_age_.push_back({now, hash});
  return true;
}

void RecentIds::RemoveExpired(TimePoint now) {
  while (!by_age_.empty() && (by_age_.front().added_at + kRetention < now || by_age_.size() >= max_ids_)) {
    hashes_.erase(by_age_.front().hash);
    by_age_.pop_front();
  }
}

}  // namespace badgerbridge::proxy
