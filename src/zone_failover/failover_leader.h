// SPDX-License-Identifier: Apache-2.0
/// @file
/// What the member that holds the leader's lease makes of all members' load reports: the next decision, or
/// none. Pure; docs/zone_failover.md has the reasons.
///
/// The invariant, whichever epoch each member acts on, whether it is out of contact, stopped or dead: what
/// all members in total may send to a zone, beside what the clients of a healthy zone ask of its own members,
/// stays within that zone's limit. So a grant grows only into capacity that no member may still use: each
/// counts with the most that any epoch gives it from the one that it has confirmed on, and one that vanished
/// until its time has run out.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_FAILOVER_LEADER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_FAILOVER_LEADER_H_

#include <optional>
#include <string>
#include <vector>

#include "zone_failover/admission.h"
#include "zone_failover/demand_tracker.h"
#include "zone_failover/epoch_history.h"
#include "zone_failover/grant_allocator.h"
#include "zone_failover/member_tracker.h"
#include "zone_failover/snapshot.h"
#include "zone_failover/zone_observer.h"
#include "zone_failover/zone_state_machine.h"

namespace badgerbridge::zone_failover {

/// Makes decisions, one term after the other. Its parts own their state; here is the order in which they
/// work.
class FailoverLeader {
 public:
  /// For an installation with these settings.
  explicit FailoverLeader(FailoverSettings settings);
  FailoverLeader(const FailoverLeader&) = delete;
  FailoverLeader& operator=(const FailoverLeader&) = delete;

  /// The lease has just been won: what was known from an earlier term does not count.
  void BeginTerm();

  /// What is to be written over the snapshot's decision, if anything; `self` is the leader's name. Its epoch
  /// is larger than any that a member knows. If it is not written, nothing of it counts: the next call begins
  /// from what is there.
  std::optional<Decision> NextDecision(TimePoint now, const Snapshot& snapshot, const std::string& self);

  /// How many epochs are kept apart; bounded.
  std::size_t epochs() const { return history_.size(); }

 private:
  void RestoreFrom(TimePoint now, const Snapshot& snapshot);
  std::uint64_t UpdateHistory(TimePoint now, const Snapshot& snapshot);
  Decision PreviousDecision(const Snapshot& snapshot) const;
  void FillZones(TimePoint now, const Snapshot& snapshot, const std::vector<ZoneObservation>& observations,
                 const std::vector<double>& demand, Decision* next) const;
  void Allocate(TimePoint now, const Snapshot& snapshot, const Decision& previous,
                const AllocationInput& input, Decision* next);

  const FailoverSettings settings_;
  MemberTracker members_;
  EpochHistory history_;
  ZoneObserver observer_;
  ZoneStates zones_;
  DemandTracker demand_;
  Admission admission_;
  GrantAllocator allocator_;
  bool restored_ = false;    // in this term, from the decision in force
  TimePoint written_at_{};   // the last decision of this term
  TimePoint observed_at_{};  // TimePoint{}: not in this term
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_FAILOVER_LEADER_H_
