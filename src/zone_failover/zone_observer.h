// SPDX-License-Identifier: Apache-2.0
/// @file
/// What all members' load reports together say of each zone, and a circuit breaker for each pair of zones.
/// Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_ZONE_OBSERVER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_ZONE_OBSERVER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "zone_failover/snapshot.h"

namespace badgerbridge::zone_failover {

/// Attempts in a second that an origin needs for its members' reports of a zone to count.
constexpr double kMinAttempts = 5;

/// A zone as all members see it.
struct ZoneObservation {
  double attempts = 0;                       ///< of all members that do not suspect themselves
  double served = 0;                         ///< work a ms
  double latency_ratio = 1;                  ///< mean, over members' baselines
  double latency_ms = 0;                     ///< mean
  double utilization = kUnknownUtilization;  ///< mean, 0 to 1
  double slow_start_factor = 1;              ///< how many times slower backends in slow start make it
  double warm_backends = 0;                  ///< mean over members' endpoint lists
  int origins = 0;                           ///< zones whose members send enough to judge it
  int failing_origins = 0;                   ///< of these: zones that it fails
  int slow_origins = 0;                      ///< of these: zones that it is slow for
  bool serves_own_members = false;           ///< its own members find it neither failing nor slow
  std::string reporters;  ///< numbers of the zones that find it failing or slow, for people
};

/// Adds up load reports. A circuit opens where a zone fails one origin, and closes when it serves that origin
/// again.
class ZoneObserver {
 public:
  /// For an installation of `zones` zones.
  explicit ZoneObserver(std::size_t zones);

  /// Closes all circuits.
  void Reset();
  /// By zone: what the reports of the snapshot say. `max_warm_backends` are, by zone, the most that it had
  /// lately.
  std::vector<ZoneObservation> Observe(TimePoint now, const Snapshot& snapshot,
                                       const std::vector<double>& max_warm_backends);
  /// Whether the receiver fails this origin and was not tried again yet.
  bool IsCircuitOpen(std::size_t origin, std::size_t receiver) const {
    return circuits_[origin][receiver].open;
  }

 private:
  struct Circuit {
    bool open = false;
    TimePoint open_until{};
    Duration open_for{0};  // doubles with each opening
  };
  // Sums over the reports of one origin's members about one receiver.
  struct PairTotals {
    double attempts = 0;
    double failures = 0;
    double latency_ratio = 0;  // weighted by answers
    double answers = 0;        // with a latency
    int reporters = 0;
  };
  // Sums over all reports about one receiver.
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

  Totals AddUp(const Snapshot& snapshot, std::vector<ZoneObservation>* observations) const;
  static void AddZoneLoad(const ZoneLoad& load, PairTotals* pair, ReceiverTotals* receiver);
  static void UpdateCircuit(TimePoint now, bool fails, const PairTotals& totals, Circuit* circuit);
  void ObservePair(TimePoint now, std::size_t origin, std::size_t receiver, const Totals& totals,
                   ZoneObservation* observation);

  std::size_t zones_;
  std::vector<std::vector<Circuit>> circuits_;  // by origin and receiver
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_ZONE_OBSERVER_H_
