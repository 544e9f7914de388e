// SPDX-License-Identifier: Apache-2.0
/// @file
/// Aggregates the load reports of all members by zone, and keeps a circuit breaker for each pair of zones.
/// Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_ZONE_OBSERVER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_ZONE_OBSERVER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "zone_failover/snapshot.h"

namespace badgerbridge::zone_failover {

/// Minimum attempts per second of an origin's members at a zone for their reports about it to count.
constexpr double kMinAttempts = 5;

/// The aggregated reports of all members about a zone.
struct ZoneObservation {
  double attempts = 0;                       ///< of all members that do not suspect themselves
  double served = 0;                         ///< work per ms, of all members
  double latency_ratio = 1;                  ///< mean latency relative to the members' baselines
  double latency_ms = 0;                     ///< mean latency
  double utilization = kUnknownUtilization;  ///< mean, 0 to 1
  double slow_start_factor = 1;              ///< expected latency factor while backends are in slow start
  double warm_backends = 0;                  ///< mean over the members' endpoint lists
  int origins = 0;                           ///< number of origins with enough attempts to judge the zone
  int failing_origins = 0;                   ///< origins among `origins` for which the zone fails
  int slow_origins = 0;                      ///< origins among `origins` for which the zone is slow
  bool serves_own_members = false;           ///< for its own members, the zone neither fails nor is slow
  std::string reporters;  ///< indexes of the origins for which it fails or is slow, for operators
};

/// Aggregates load reports. The circuit of an origin and a receiver opens when the receiver fails for that
/// origin, and closes when it serves that origin again.
class ZoneObserver {
 public:
  /// Creates an observer for `zones` zones with all circuits closed.
  explicit ZoneObserver(std::size_t zones);

  /// Closes all circuits.
  void Reset();
  /// Returns the observation of each zone from the reports of the snapshot, and updates the circuits.
  /// `max_warm_backends` is the recent maximum weight of warm backends by zone.
  std::vector<ZoneObservation> Observe(TimePoint now, const Snapshot& snapshot,
                                       const std::vector<double>& max_warm_backends);
  /// True if the receiver failed for this origin and its circuit has neither expired nor closed.
  bool IsCircuitOpen(std::size_t origin, std::size_t receiver) const {
    return circuits_[origin][receiver].open;
  }

 private:
  struct Circuit {
    bool open = false;
    TimePoint open_until{};
    Duration open_for{0};  // doubles each time the circuit opens
  };
  // Sums of the reports of one origin's members about one receiver.
  struct PairTotals {
    double attempts = 0;
    double failures = 0;
    double latency_ratio = 0;  // weighted by answers
    double answers = 0;        // with a known latency
    int reporters = 0;
  };
  // Sums of all reports about one receiver.
  struct ReceiverTotals {
    double latency_ratio = 0;  // weighted by answers
    double latency_ms = 0;     // weighted by answers
    double answers = 0;
    double utilization = 0;  // weighted by attempts
    double attempts_with_utilization = 0;
  };
  struct Totals {
    explicit Totals(std::size_t zones);
    std::vector<int> members;                    // by origin
    std::vector<std::vector<PairTotals>> pairs;  // by origin and receiver
    std::vector<ReceiverTotals> receivers;
  };

  Totals SumReports(const Snapshot& snapshot, std::vector<ZoneObservation>* observations) const;
  static void AddZoneLoad(const ZoneLoad& load, PairTotals* pair, ReceiverTotals* receiver);
  static void UpdateCircuit(TimePoint now, bool fails, const PairTotals& totals, Circuit* circuit);
  void ObservePair(TimePoint now, std::size_t origin, std::size_t receiver, const Totals& totals,
                   ZoneObservation* observation);

  std::size_t zones_;
  std::vector<std::vector<Circuit>> circuits_;  // by origin and receiver
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_ZONE_OBSERVER_H_
