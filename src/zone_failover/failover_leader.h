// SPDX-License-Identifier: Apache-2.0
/// @file
/// The leader's algorithm: computes the next decision, if any, from the load reports of all members. Pure;
/// docs/zone_failover.md has the reasons.
///
/// Invariant: the total that all members may send to a zone stays within the zone's limit, apart from the
/// demand of a healthy zone's own members. It holds whichever epoch each member acts on, and for members that
/// are out of contact, stopped or dead. A grant therefore only grows into capacity that no member may still
/// use. Each member counts with its largest grant since the epoch that it last confirmed, and a vanished
/// member counts until its grants have expired.
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

/// Makes the decisions of one term after another. Coordinates its components, which hold most of the state.
class FailoverLeader {
 public:
  /// Creates a leader in the state that BeginTerm restores.
  explicit FailoverLeader(FailoverSettings settings);
  FailoverLeader(const FailoverLeader&) = delete;
  FailoverLeader& operator=(const FailoverLeader&) = delete;

  /// Called when this member has become the leader; discards the state of earlier terms.
  void BeginTerm();

  /// Returns the decision to be written over the snapshot's decision, or nothing if no write is needed;
  /// `self` is the leader's name. The new epoch is larger than any epoch that a member has confirmed. If the
  /// write fails, the next call starts from the decision in its snapshot.
  std::optional<Decision> NextDecision(TimePoint now, const Snapshot& snapshot, const std::string& self);

  /// Number of epochs in the history, at most 64.
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
  bool restored_ = false;    // true once this term has started from the decision in force
  TimePoint written_at_{};   // last decision of this term
  TimePoint observed_at_{};  // TimePoint{}: not in this term
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_FAILOVER_LEADER_H_
