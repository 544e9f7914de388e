// SPDX-License-Identifier: Apache-2.0
/// @file
/// Selects the members that a decision counts and decides when they may use grants. Pure: no I/O and no
/// clock.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_ADMISSION_H_
#define BADGERBRIDGE_ZONE_FAILOVER_ADMISSION_H_

#include <cstdint>

#include "zone_failover/member_tracker.h"

namespace badgerbridge::zone_failover {

/// Admits members in two steps. A decision first counts a new member. A later decision lets it use grants,
/// after all members have confirmed an epoch that counts it. A member whose name was counted before is
/// readmitted at once.
class Admission {
 public:
  /// Returns to the initial state.
  void Reset() { *this = Admission{}; }
  /// Called at the start of a term if there is a decision in force.
  void Restore(const Decision& decision) { counted_epoch_ = decision.epoch; }

  /// Sets the admitted and counted revisions and the readmitted members of `next`. `oldest_epoch` is the
  /// oldest epoch that any member may act on.
  void Update(TimePoint now, const Snapshot& snapshot, std::uint64_t oldest_epoch,
              const MemberTracker& members, const Decision& previous, Decision* next);
  /// True if `next` admits members that `previous` does not.
  static bool AdmitsMore(const Decision& previous, const Decision& next);
  /// Returns `next` without the members that `previous` does not admit.
  static Decision WithoutNewMembers(const Decision& previous, const Decision& next);
  /// True while new members must wait for the other members to reduce their load, for at most one second.
  bool ShouldDelay(TimePoint now, bool reduces_grants);
  /// Called when `next` is about to be written over `previous`.
  void DecisionMade(const Snapshot& snapshot, const Decision& previous, const Decision& next);

 private:
  static bool HasUncountedMembers(const Snapshot& snapshot, const Decision& previous);

  TimePoint first_update_at_{};      // in this term
  TimePoint delayed_since_{};        // TimePoint{}: no member waits
  std::uint64_t counted_epoch_ = 0;  // first epoch with the current counted_revision
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_ADMISSION_H_
