// SPDX-License-Identifier: Apache-2.0
/// @file
/// The decision that all members share: the limit of each zone, and how much of it the members of each zone
/// may use. It is stored with its epoch under one etcd key, which is changed only by compare-and-swap. Pure.
///
/// Rates are in work per ms, as in load_report.h. The "origin" is the zone of the sending member, the
/// "receiver" the zone to which it sends.
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

/// Maximum size of an encoded decision and of an encoded roster.
constexpr std::size_t kMaxDecisionBytes = 1 << 18;

/// The state of a zone as the leader judges it.
enum class ZoneState {
  kHealthy,      ///< serves its load
  kDegraded,     ///< too slow for its load; its limit follows the work that it recently served
  kUnavailable,  ///< fails its requests; receives trial requests only
  kRecovering,   ///< works again; its limit rises in steps to the capacity observed before
  kEvacuated,    ///< receives no load, by an operator's order
};
/// The name of the state in etcd, in the control API and in the tool's output.
std::string_view WireName(ZoneState state);

/// One registration of a member: its name and the create revision of its key. A new registration under the
/// same name is another incarnation.
struct MemberIncarnation {
  std::string member;                ///< name of the member
  std::int64_t create_revision = 0;  ///< create revision of the member's key in etcd

  /// Compares both fields.
  friend bool operator==(const MemberIncarnation&, const MemberIncarnation&) = default;
  /// Orders by name, then revision.
  friend auto operator<=>(const MemberIncarnation&, const MemberIncarnation&) = default;
};

/// A member that Decision::Zone::members counts: it shares the grants of its zone.
struct RosterEntry {
  std::string member;  ///< name of the member; empty: not known
  int zone = 0;        ///< index of the member's zone

  /// Compares both fields.
  friend bool operator==(const RosterEntry&, const RosterEntry&) = default;
};

/// A decision; it replaces those of earlier epochs.
struct Decision {
  /// The decision about one zone.
  struct Zone {
    ZoneState state = ZoneState::kHealthy;  ///< as the leader judges it
    double observed_capacity = 0;           ///< recently observed capacity, in work per ms
    double limit = 0;                       ///< work per ms that all members together may send to the zone
    double served = 0;                      ///< work per ms served at the time of the decision
    double demand = 0;                      ///< work per ms that clients request from the zone's members
    int members = 0;                        ///< members that share the grants of this origin evenly
    int lost_members = 0;                   ///< members out of contact that may act on `standby`
    std::string reason;                     ///< reason for the state, for operators

    /// Compares all fields.
    friend bool operator==(const Zone&, const Zone&) = default;
  };

  std::uint64_t epoch = 0;  ///< increases with each decision
  std::string leader;       ///< name of the member that made the decision
  /// Members whose key was created at or before this revision may use grants: Zone::members has counted them
  /// since an epoch that all members have confirmed. Newer members wait for a later decision.
  std::int64_t admitted_revision = 0;
  std::int64_t counted_revision = 0;  ///< members whose key was created up to this revision are counted
  /// Members that returned under a name that was still counted. They may use the share of that name at once.
  std::vector<MemberIncarnation> readmitted;
  std::vector<Zone> zones;  ///< by zone
  Matrix grants;            ///< work per ms of all members of an origin; kUnlimited only on the diagonal
  Matrix grant_ceiling;     ///< upper bound of any one member's grant, under this or an older epoch
  Matrix standby;           ///< work per ms that an origin's members may send after their grants have expired
  /// Members that Zone::members counts, stored under a separate key (EncodeRoster). Only a leader reads it; a
  /// new leader finds the members that have vanished with it.
  std::vector<RosterEntry> roster;

  /// Compares all fields.
  friend bool operator==(const Decision&, const Decision&) = default;
};

/// The grant of one member of each origin for each receiver under this decision.
Matrix GrantsPerMember(const Decision& decision);

/// Encodes the decision for etcd, without its roster.
std::string Encode(const Decision& decision);
/// Decodes a decision of an installation with `zones` zones; the roster of the result is empty.
Result<Decision> DecodeDecision(std::string_view text, std::size_t zones);
/// Encodes the decision's roster for etcd.
std::string EncodeRoster(const Decision& decision);
/// Decodes the roster of the decision of `epoch`; returns an error for a roster of another epoch.
Result<std::vector<RosterEntry>> DecodeRoster(std::string_view text, std::size_t zones, std::uint64_t epoch);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_DECISION_H_
