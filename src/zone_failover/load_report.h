// SPDX-License-Identifier: Apache-2.0
/// @file
/// The load report that one proxy publishes about each zone, measured over the last second, and its codec.
/// Pure; the decoder accepts arbitrary text, because reports come from other members.
///
/// Units: work is in ms on a standard core, from the clients' hints; rates are in work per ms, which equals
/// the number of standard cores.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_LOAD_REPORT_H_
#define BADGERBRIDGE_ZONE_FAILOVER_LOAD_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "badgerbridge/balancer.h"
#include "zone_failover/error.h"

namespace badgerbridge::zone_failover {

using balancer::Duration;
using balancer::TimePoint;

/// Maximum size of an encoded load report, which has at most 64 zones.
constexpr std::size_t kMaxLoadReportBytes = 8192;
/// `ZoneLoad::utilization` if no backend reported a utilization.
constexpr double kUnknownUtilization = -1;

/// The load of one zone as one member measured it, over about the last second.
struct ZoneLoad {
  double attempts = 0;  ///< attempts that ended or are overdue
  double failures = 0;  ///< failed and overdue attempts among `attempts`
  double served = 0;    ///< served work per ms
  /// Mean latency of answers relative to this member's baseline for the zone; 1 if there were none.
  double latency_ratio = 1;
  double latency_ms = 0;                     ///< mean latency of answers
  double utilization = kUnknownUtilization;  ///< 0 to 1, as reported by the zone's backends
  /// Weight of the zone's backends in the endpoint list; a backend in slow start counts partially.
  double warm_backends = 0;

  /// Compares all fields.
  friend bool operator==(const ZoneLoad&, const ZoneLoad&) = default;
};

/// The report that a member publishes with each heartbeat.
struct LoadReport {
  std::uint64_t epoch = 0;       ///< confirms the decision of this epoch: the member acts on it
  int zone = 0;                  ///< index of the member's zone
  double demand = 0;             ///< work per ms that clients request from the member
  bool suspects_itself = false;  ///< all zones that it judges fail at once, so the fault is likely its own
  std::vector<ZoneLoad> zones;   ///< by zone

  /// Compares all fields.
  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Encodes the report for etcd.
std::string Encode(const LoadReport& report);
/// Decodes a report of an installation with `zones` zones. Reports of faulty members may contain any value,
/// so all numbers of the result are finite and bounded.
Result<LoadReport> DecodeLoadReport(std::string_view text, std::size_t zones);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_LOAD_REPORT_H_
