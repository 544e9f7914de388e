// SPDX-License-Identifier: Apache-2.0
/// @file
/// The leader's account of members: which are present, which have vanished, and which epochs each may act on.
/// Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_MEMBER_TRACKER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_MEMBER_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zone_failover/epoch_history.h"
#include "zone_failover/snapshot.h"

namespace badgerbridge::zone_failover {

/// A member that has vanished and may still act on what it was granted.
struct LostMember {
  std::string member;               ///< its name; empty: only known to be missing
  std::size_t zone = 0;             ///< its zone
  std::uint64_t epoch = 0;          ///< that it confirmed last
  double demand = 0;                ///< work a ms that its clients asked of it
  TimePoint grants_until{};         ///< when it will have ceased to act on grants
  TimePoint standby_until{};        ///< when it will have ceased to use standby capacity
  std::vector<double> max_standby;  ///< by receiver: the most standby that its zone's members may use
};

/// Members of one zone, by what the decision says of them.
struct MemberCounts {
  int members = 0;       ///< that share the zone's grants
  int lost_members = 0;  ///< that may use standby capacity alone
};

/// Whether the decision lets the member use grants.
bool Admits(const Decision& decision, const MemberReport& report);

/// Follows members from snapshot to snapshot. Times never go back.
class MemberTracker {
 public:
  /// `settings` must outlive this.
  explicit MemberTracker(const FailoverSettings& settings) : settings_(settings) {}

  /// Forgets all.
  void Clear();
  /// At the start of a term: members that the snapshot's decision counts, or knows to be lost, and that are
  /// not present. The snapshot must have a decision.
  void RestoreLostMembers(TimePoint now, const Snapshot& snapshot, const EpochHistory& history);
  /// Takes in who is present, and who has vanished since the last snapshot.
  void Update(TimePoint now, const Snapshot& snapshot, const EpochHistory& history);

  /// All that may act on some epoch while `decision` is in force, grouped.
  std::vector<GrantHolders> HoldersUnder(TimePoint now, const Snapshot& snapshot,
                                         const Decision& decision) const;
  /// Whether a member of the same name was counted when this one came; it must be in the last snapshot.
  bool InheritsShare(const MemberReport& report) const;
  /// By zone: how many share its grants, and how many have only standby capacity.
  std::vector<MemberCounts> CountByZone(TimePoint now, const Snapshot& snapshot) const;
  /// The members that CountByZone counts as sharing grants.
  std::vector<RosterEntry> Roster(TimePoint now, const Snapshot& snapshot) const;
  /// Members that have vanished, until their standby capacity is free again.
  const std::vector<LostMember>& lost_members() const { return lost_members_; }

 private:
  struct IncarnationState {
    std::size_t zone = 0;
    std::uint64_t epoch = 0;  // confirmed last
    double demand = 0;
    bool inherits_share = false;    // one of its name was counted when it came
    std::uint64_t admitted_at = 0;  // epoch from which on it may use grants; 0: it may not yet
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
