// SPDX-License-Identifier: Apache-2.0
#include "membership/mass_departure_guard.h"

#include <utility>

namespace badgerbridge::membership {

void MassDepartureGuard::ForgetOldDepartures(Time now) {
  while (!departures_.empty() && now - departures_.front() > settings_.window) departures_.pop_front();
}

void MassDepartureGuard::RecordDepartures(Time now, const std::vector<MemberPtr>& leaving,
                                          std::size_t ready_count) {
  // Those that have left within the window were ready at its beginning.
  const std::size_t base = ready_count + departures_.size();
  departures_.insert(departures_.end(), leaving.size(), now);
  const bool are_few = departures_.size() < settings_.min_count;
  const bool are_within_share =
      static_cast<double>(departures_.size()) <= settings_.max_share * static_cast<double>(base);
  if (are_few || are_within_share) return;
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
