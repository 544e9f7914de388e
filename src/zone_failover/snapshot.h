// SPDX-License-Identifier: Apache-2.0
/// @file
/// What the leader of zone failover decides from: its settings, and all keys of zone failover at one
/// revision.
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

/// Settings of zone failover; alike for all members of an installation.
struct FailoverSettings {
  std::size_t zones = 1;              ///< number of zones
  Matrix round_trip_ms;               ///< by origin and receiver
  Matrix transfer_price;              ///< of work that crosses, in any unit; equal prices go by round trip
  double latency_objective_ms = 500;  ///< within which answers are wanted
  /// A member acts on its grants for so long after its lease has ended, by its own clock. The leader waits
  /// for that by its own clock, and the two may differ by `max_clock_drift`.
  Duration grant_hold{5000};
  double max_clock_drift = 0.01;  ///< share of the time by which a clock may be fast or slow
  Duration standby_hold{600000};  ///< for so long a member out of contact may use standby capacity
  Duration recovery_step{400};    ///< between two steps of a zone's limit
};

/// How long the leader waits for what a member does for `hold` by its own clock.
inline Duration WithClockDrift(const FailoverSettings& settings, Duration hold) {
  return hold * (1 + 2 * settings.max_clock_drift);
}

/// One member's key.
struct MemberReport {
  std::string member;                ///< its name
  std::int64_t create_revision = 0;  ///< at which its key was made: tells its incarnations apart
  LoadReport load;                   ///< what it published

  /// Zone of the member.
  std::size_t zone() const { return static_cast<std::size_t>(load.zone); }
  /// Which life of the member this is.
  MemberIncarnation incarnation() const { return {member, create_revision}; }
};

/// All keys of zone failover, as of one revision of etcd.
struct Snapshot {
  std::int64_t revision = 0;          ///< of etcd
  std::vector<MemberReport> reports;  ///< of all members that are present
  std::optional<Decision> decision;   ///< the one in force; nothing before the first
  /// By zone: name of the person who ordered to evacuate it; empty: there is no order.
  std::vector<std::string> evacuated_by;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_SNAPSHOT_H_
