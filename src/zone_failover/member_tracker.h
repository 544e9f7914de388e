// SPDX-License-Identifier: Apache-2.0
/// @file
/// The leader's record of the members: which are present, which have vanished, and on which epochs each may
/// act. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_MEMBER_TRACKER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_MEMBER_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zone_failover/epoch_history.h"
#include "zone_failover/snapshot.h"

namespace badgerbridge::zone_failover {

/// A member that has vanished and may still use its grants or standby capacity.
struct LostMember {
  std::string member;               ///< name of the member; empty: not known
  std::size_t zone = 0;             ///< index of the member's zone
  std::uint64_t epoch = 0;          ///< epoch that it last confirmed
  double demand = 0;                ///< last known demand of its clients, in work per ms
  TimePoint grants_until{};         ///< by then it certainly no longer uses grants
  TimePoint standby_until{};        ///< by then it certainly no longer uses standby capacity
  std::vector<double> max_standby;  ///< by receiver: maximum standby capacity of all members of its zone
};

/// Numbers of members of one zone, as in Decision::Zone.
struct MemberCounts {
  int members = 0;       ///< members that share the zone's grants
  int lost_members = 0;  ///< members that may only use standby capacity
};

/// True if the decision allows the member to use grants.
bool Admits(const Decision& decision, const MemberReport& report);

/// Tracks the members from snapshot to snapshot. The times passed to successive calls must not decrease.
class MemberTracker {
 public:
  /// Creates a tracker without members; `settings` must outlive this object.
  explicit MemberTracker(const FailoverSettings& settings) : settings_(settings) {}

  /// Removes all members.
  void Clear();
  /// Called at the start of a term. Adds as lost the members that the snapshot's decision counts but that are
  /// not present, and those that the decision already lists as lost. The snapshot must have a decision.
  void RestoreLostMembers(TimePoint now, const Snapshot& snapshot, const EpochHistory& history);
  /// Updates the present members and adds those that vanished since the last snapshot to the lost ones.
  void Update(TimePoint now, const Snapshot& snapshot, const EpochHistory& history);

  /// Returns, in groups, all members that may act on any epoch while `decision` is in force.
  std::vector<GrantHolders> HoldersUnder(TimePoint now, const Snapshot& snapshot,
                                         const Decision& decision) const;
  /// True if a member of the same name was counted when this one appeared. The report must be from the last
  /// snapshot.
  bool InheritsShare(const MemberReport& report) const;
  /// Counts by zone the members that share its grants and those that only have standby capacity.
  std::vector<MemberCounts> CountByZone(TimePoint now, const Snapshot& snapshot) const;
  /// Returns the members that CountByZone counts as sharing grants.
  std::vector<RosterEntry> Roster(TimePoint now, const Snapshot& snapshot) const;
  /// Vanished members, until they can no longer use standby capacity.
  const std::vector<LostMember>& lost_members() const { return lost_members_; }

 private:
  struct IncarnationState {
    std::size_t zone = 0;
    std::uint64_t epoch = 0;  // last confirmed
    double demand = 0;
    bool inherits_share = false;       // a member of this name was counted when it appeared
    std::uint64_t admitted_epoch = 0;  // first epoch whose grants it may use; 0: not admitted
  };
  using Incarnations = std::map<MemberIncarnation, IncarnationState>;

  IncarnationState StateOf(const MemberReport& report) const;
  Incarnations NextIncarnations(TimePoint now, const Snapshot& snapshot) const;
  static bool MayActOnEarlierGrants(const IncarnationState& state, std::uint64_t epoch);
  static std::uint64_t OldestEpoch(const IncarnationState& state, std::uint64_t epoch);

  const FailoverSettings& settings_;
  Incarnations incarnations_;  // present in the last snapshot
  std::vector<LostMember> lost_members_;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_MEMBER_TRACKER_H_
