// SPDX-License-Identifier: Apache-2.0
/// @file
/// Which members a decision counts, and from when on they may use grants. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_ADMISSION_H_
#define BADGERBRIDGE_ZONE_FAILOVER_ADMISSION_H_

#include <cstdint>

#include "zone_failover/member_tracker.h"

namespace badgerbridge::zone_failover {

/// Admits members in two steps: a decision counts them first, and a later one lets them use grants, once all
/// members have confirmed an epoch that counts them. Names that were counted before are readmitted at once.
class Admission {
 public:
  /// Forgets all.
  void Reset() { *this = Admission{}; }
  /// At the start of a term with a decision in force.
  void Restore(const Decision& decision) { counted_epoch_ = decision.epoch; }

  /// Sets `next`'s admitted and counted revisions and its readmitted members. `oldest_epoch` is the oldest
  /// that any member may act on.
  void Update(TimePoint now, const Snapshot& snapshot, std::uint64_t oldest_epoch,
              const MemberTracker& members, const Decision& previous, Decision* next);
  /// Whether `next` admits members that `previous` does not.
  static bool AdmitsMore(const Decision& previous, const Decision& next);
  /// `next` without the members that it admits beyond `previous`.
  static Decision WithoutNewMembers(const Decision& previous, const Decision& next);
  /// Whether new members must wait until the others have reduced what they send; a second at most.
  bool ShouldDelay(TimePoint now, bool reduces_grants);
  /// `next` is to be written over `previous`.
  void DecisionMade(const Snapshot& snapshot, const Decision& previous, const Decision& next);

 private:
  static bool HasUncountedMembers(const Snapshot& snapshot, const Decision& previous);

  TimePoint began_{};                // first decision of this term
  TimePoint delayed_since_{};        // TimePoint{}: no member waits
  std::uint64_t counted_epoch_ = 0;  // the first with the record's counted_revision
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_ADMISSION_H_
