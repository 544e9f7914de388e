// SPDX-License-Identifier: Apache-2.0

/// @file
/// Retains members that depart in large numbers at once, as Eureka's self-preservation mode does: a mass
/// departure is more often a fault of the control plane than of the backends. Pure: no I/O, no clock.
#ifndef BADGERBRIDGE_MEMBERSHIP_MASS_DEPARTURE_GUARD_H_
#define BADGERBRIDGE_MEMBERSHIP_MASS_DEPARTURE_GUARD_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/member.h"

namespace badgerbridge::membership {

/// The thresholds of a mass departure.
struct MassDepartureSettings {
  double max_share = 0.5;     ///< Share of the ready members, 0 to 1; 1: never retains.
  Time window{2000};          ///< The sliding window in which departures are counted.
  std::size_t min_count = 3;  ///< Fewer departures within the window are never retained.
};

/// Counts departures in a sliding window and retains members above the limits. Not thread-safe.
class MassDepartureGuard {
 public:
  /// Starts with no departures and no retained members.
  explicit MassDepartureGuard(MassDepartureSettings settings) : settings_(settings) {}

  /// Drops departures that are older than the window.
  void DropOldDepartures(Time now);

  /// Counts `leaving`, members that were ready and have left. Retains them if the departures within the
  /// window reach `min_count` and exceed `max_share` of the members that were ready at its start.
  /// `ready_count` includes the members in `leaving`.
  void RecordDepartures(Time now, const std::vector<MemberPtr>& leaving, std::size_t ready_count);

  /// The retained member of this name, as it was before its departure; null: not retained.
  MemberPtr FindRetained(const std::string& name) const;

  /// Stops retaining this member; no effect if it is not retained.
  void Release(const std::string& name) { retained_.erase(name); }

  /// Stops retaining all members and returns their names.
  std::set<std::string> ReleaseAll();

  /// The number of retained members.
  std::size_t retained_count() const { return retained_.size(); }

 private:
  MassDepartureSettings settings_;
  std::map<std::string, MemberPtr> retained_;  // by name
  std::deque<Time> departures_;                // times of departures within the window, oldest first
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_MASS_DEPARTURE_GUARD_H_
