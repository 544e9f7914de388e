// SPDX-License-Identifier: Apache-2.0
/// @file
/// The leader's input: the settings of zone failover and a snapshot of its etcd keys at one revision.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_SNAPSHOT_H_
#define BADGERBRIDGE_ZONE_FAILOVER_SNAPSHOT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zone_failover/decision.h"
#include "zone_failover/load_report.h"

namespace badgerbridge::zone_failover {

/// Settings of zone failover; they must be the same for all members of an installation.
struct FailoverSettings {
  std::size_t zones = 1;              ///< number of zones
  Matrix round_trip_ms;               ///< by origin and receiver
  Matrix transfer_price;              ///< by origin and receiver, in any unit; ties are ordered by round trip
  double latency_objective_ms = 500;  ///< maximum desired latency of answers
  /// How long a member may use its grants after its lease has ended, by its own clock. The leader waits as
  /// long by its own clock, plus an allowance for `max_clock_drift`.
  Duration grant_hold{5000};
  double max_clock_drift = 0.01;  ///< maximum relative error of a clock's rate, in either direction
  Duration standby_hold{600000};  ///< how long a member out of contact may use standby capacity
  Duration recovery_step{400};    ///< minimum interval between changes of a zone's limit
};

/// How long the leader must wait, by its clock, until `hold` has passed by any member's clock.
inline Duration WithClockDrift(const FailoverSettings& settings, Duration hold) {
  return hold * (1 + 2 * settings.max_clock_drift);
}

/// One member's key.
struct MemberReport {
  std::string member;                ///< name of the member
  std::int64_t create_revision = 0;  ///< of the member's key; differs between its incarnations
  LoadReport load;                   ///< the published load report

  /// Index of the member's zone.
  std::size_t zone() const { return static_cast<std::size_t>(load.zone); }
  /// The incarnation of the member that published the report.
  MemberIncarnation incarnation() const { return {member, create_revision}; }
};

/// All keys of zone failover at one revision of etcd.
struct Snapshot {
  std::int64_t revision = 0;          ///< etcd's revision
  std::vector<MemberReport> reports;  ///< reports of all present members
  std::optional<Decision> decision;   ///< the decision in force; nothing before the first
  /// By zone: name of the operator who ordered its evacuation; empty: there is no order.
  std::vector<std::string> evacuated_by;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_SNAPSHOT_H_
