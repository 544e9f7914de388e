// SPDX-License-Identifier: Apache-2.0
/// @file
/// The one decision of all members: how much each zone takes, and how much of that members of each other zone
/// may send there. A record with an epoch under one key of etcd, changed by compare-and-swap alone. Pure.
///
/// Units as in load_report.h: work a ms. "Origin" is the zone of a member, "receiver" the zone it sends to.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_DECISION_H_
#define BADGERBRIDGE_ZONE_FAILOVER_DECISION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "zone_failover/error.h"
#include "zone_failover/matrix.h"

namespace badgerbridge::zone_failover {

/// Upper bound of the text of a decision and of a roster.
constexpr std::size_t kMaxDecisionBytes = 1 << 18;

/// What the leader makes of a zone.
enum class ZoneState {
  kHealthy,      ///< it serves what it is sent
  kDegraded,     ///< too slow for what it is sent: it is given what it has served lately
  kUnavailable,  ///< it fails what it is sent: trial requests alone
  kRecovering,   ///< well again: its limit rises by steps to what it served before
  kEvacuated,    ///< taken out by an operator's order
};
/// The state's word in etcd, in the control API and in the tool's output.
std::string_view WireName(ZoneState state);

/// One life of a member: its name, and the revision at which its key was made.
struct MemberIncarnation {
  std::string member;                ///< the member's name
  std::int64_t create_revision = 0;  ///< of its key in etcd

  /// Compares both fields.
  friend bool operator==(const MemberIncarnation&, const MemberIncarnation&) = default;
  /// Orders by name, then revision.
  friend auto operator<=>(const MemberIncarnation&, const MemberIncarnation&) = default;
};

/// A member that a decision counts.
struct RosterEntry {
  std::string member;  ///< its name; empty: only known to exist
  int zone = 0;        ///< its zone

  /// Compares both fields.
  friend bool operator==(const RosterEntry&, const RosterEntry&) = default;
};

/// The decision in force from its epoch on.
struct Decision {
  /// One zone's line.
  struct Zone {
    ZoneState state = ZoneState::kHealthy;  ///< as the leader judges it
    double observed_capacity = 0;           ///< work a ms that it has lately shown it can serve
    double limit = 0;                       ///< work a ms that all members in total may send there
    double served = 0;                      ///< work a ms when this was decided
    double demand = 0;                      ///< work a ms that clients ask of its members
    int members = 0;                        ///< members that share evenly what this origin is granted
    int lost_members = 0;                   ///< members out of contact that may act on `standby`
    std::string reason;                     ///< why it is in this state, for people

    /// Compares all fields.
    friend bool operator==(const Zone&, const Zone&) = default;
  };

  std::uint64_t epoch = 0;  ///< rises with each decision
  std::string leader;       ///< name of the member that made it
  /// Members whose key was made at or before this revision are counted in Zone::members since an epoch that
  /// all have confirmed: only these may use grants. Later ones wait for a later decision.
  std::int64_t admitted_revision = 0;
  std::int64_t counted_revision = 0;  ///< members made up to here are counted from this epoch on
  /// Members that came back under a name that was still counted: they may use that one's share at once.
  std::vector<MemberIncarnation> readmitted;
  std::vector<Zone> zones;  ///< by zone
  Matrix grants;            ///< work a ms of all members of an origin; kUnlimited only on the diagonal
  Matrix grant_ceiling;     ///< the most that any one member may still act on, under this or an older epoch
  Matrix standby;           ///< what an origin's members may send once their grants have run out
  /// Members that Zone::members counts, under a key of its own (EncodeRoster): only a leader reads it, a new
  /// one to know which members have vanished.
  std::vector<RosterEntry> roster;

  /// Compares all fields.
  friend bool operator==(const Decision&, const Decision&) = default;
};

/// What one member of each origin may send to each receiver under this decision.
Matrix GrantsPerMember(const Decision& decision);

/// The decision's text in etcd, without its roster.
std::string Encode(const Decision& decision);
/// Reads a decision of an installation of `zones` zones; its roster is empty.
Result<Decision> DecodeDecision(std::string_view text, std::size_t zones);
/// The text of the decision's roster in etcd.
std::string EncodeRoster(const Decision& decision);
/// Reads the roster of the decision of `epoch`; an error for one of another epoch.
Result<std::vector<RosterEntry>> DecodeRoster(std::string_view text, std::size_t zones, std::uint64_t epoch);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_DECISION_H_
