// SPDX-License-Identifier: Apache-2.0

/// @file
/// Keeps members in the list whose departure is part of a mass departure, which is more often a fault of the
/// control plane than of the backends (as Eureka's self-preservation does). Pure.
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

/// When departures count as a mass departure.
struct MassDepartureSettings {
  double max_share = 0.5;     ///< Of the ready members, within the window; 1: nothing is ever retained.
  Time window{2000};          ///< Over which departures are counted.
  std::size_t min_count = 3;  ///< Fewer departures than this are never retained.
};

/// Counts departures and retains those that are too many at once. Not thread-safe.
class MassDepartureGuard {
 public:
  /// A guard that retains nothing yet.
  explicit MassDepartureGuard(MassDepartureSettings settings) : settings_(settings) {}

  /// Forgets departures that are older than the window.
  void ForgetOldDepartures(Time now);

  /// Counts `leaving`, members that were ready and have left; if all within the window are more than the
  /// share of the ready ones (`ready_count`, with those in `leaving`), retains these.
  void RecordDepartures(Time now, const std::vector<MemberPtr>& leaving, std::size_t ready_count);

  /// The retained member of this name, as it was before its departure; null: none.
  MemberPtr FindRetained(const std::string& name) const;

  /// Retains this member no longer, if it was.
  void Release(const std::string& name) { retained_.erase(name); }

  /// Retains nothing any longer; returns the names of what was.
  std::set<std::string> ReleaseAll();

  /// How many members are retained.
  std::size_t retained_count() const { return retained_.size(); }

 private:
  MassDepartureSettings settings_;
  std::map<std::string, MemberPtr> retained_;  // by name
  std::deque<Time> departures_;                // within the window, the oldest first
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_MASS_DEPARTURE_GUARD_H_
