// SPDX-License-Identifier: Apache-2.0
#include "membership/mass_departure_guard.h"

#include <utility>

namespace badgerbridge::membership {

void MassDepartureGuard::DropOldDepartures(Time now) {
  while (!departures_.empty() && now - departures_.front() > settings_.window) departures_.pop_front();
}

void MassDepartureGuard::RecordDepartures(Time now, const std::vector<MemberPtr>& leaving,
                                          std::size_t ready_count) {
  // The members that departed within the window were ready at its start.
  const std::size_t ready_at_window_start = ready_count + departures_.size();
  departures_.insert(departures_.end(), leaving.size(), now);
  const bool is_below_min_count = departures_.size() < settings_.min_count;
  const bool is_within_max_share = static_cast<double>(departures_.size()) <=
                                   settings_.max_share * static_cast<double>(ready_at_window_start);
  if (is_below_min_count || is_within_max_share) return;
  for (const MemberPtr& member : leaving) retained_.emplace(member->name, member);
}

MemberPtr MassDepartureGuard::FindRetained(const std::string& name) const {
  const auto found = retained_.find(name);
  return found == retained_.end() ? nullptr : found->second;
}

std::set<std::string> MassDepartureGuard::ReleaseAll() {
  std::set<std::string> names;
  for (const auto& [name, member] : std::exchange(retained_, {})) names.insert(name);
  return names;
}

}  // namespace badgerbridge::membership
