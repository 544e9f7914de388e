// SPDX-License-Identifier: Apache-2.0
/// @file
/// What one proxy publishes of each zone, as measured over the last second, and its text in etcd. Pure;
/// reports of other members come in as text that may be anything.
///
/// Units: work is in ms on a standard core, as clients hint it; rates are work a ms, so standard cores.
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

/// Upper bound of a load report's text, which has 64 zones at most.
constexpr std::size_t kMaxLoadReportBytes = 8192;
/// `ZoneLoad::utilization` where no backend reported any.
constexpr double kUnknownUtilization = -1;

/// One zone as one member sees it, over the last second or so.
struct ZoneLoad {
  double attempts = 0;  ///< attempts that ended, or are out for longer than is likely
  double failures = 0;  ///< of these: failed, or out for too long
  double served = 0;    ///< work a ms
  /// Mean time of answers over the baseline of this member for this zone; 1 where none came.
  double latency_ratio = 1;
  double latency_ms = 0;                     ///< mean time of answers
  double utilization = kUnknownUtilization;  ///< 0 to 1: as its backends report it
  /// Weight of the zone's backends in the endpoint list; one in slow start counts by its share.
  double warm_backends = 0;

  /// Compares all fields.
  friend bool operator==(const ZoneLoad&, const ZoneLoad&) = default;
};

/// What a member publishes with each heartbeat.
struct LoadReport {
  std::uint64_t epoch = 0;       ///< of the decision that the member acts on: this confirms it
  int zone = 0;                  ///< zone of the member
  double demand = 0;             ///< work a ms that clients ask of it
  bool suspects_itself = false;  ///< it sees several zones fail at once, so the fault is likely its own
  std::vector<ZoneLoad> zones;   ///< by zone

  /// Compares all fields.
  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// The report's text in etcd.
std::string Encode(const LoadReport& report);
/// Reads a report of an installation of `zones` zones. Other members are not trusted to be sane: all numbers
/// of the result are finite and bounded.
Result<LoadReport> DecodeLoadReport(std::string_view text, std::size_t zones);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_LOAD_REPORT_H_
