// SPDX-License-Identifier: Apache-2.0
/// @file
/// Measures one proxy's attempts at each zone and their outcomes, and builds its load reports. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_LOAD_REPORTER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_LOAD_REPORTER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "zone_failover/load_report.h"

namespace badgerbridge::zone_failover {

/// The outcome of an attempt as evidence about its zone.
enum class AttemptOutcome {
  kServed,     ///< answered successfully
  kFailed,     ///< an error, a timeout, a reset or no connection; counts as a failure of the zone
  kRejected,   ///< answered but not served
  kCancelled,  ///< cancelled by this proxy or its client; not counted
};

/// The result of an attempt that has ended.
struct AttemptResult {
  std::size_t request_class = 0;                     ///< index of the request's class
  AttemptOutcome outcome = AttemptOutcome::kServed;  ///< how the attempt ended
  Duration latency{0};                               ///< from the start of the attempt to its end
  double work = 0;                                   ///< ms on a standard core, from the client's hint
  /// As reported by the answering backend; NaN and values outside 0 to 1 are ignored.
  std::optional<double> utilization;
};

/// Counts attempts over a sliding window of one second, in buckets of 250 ms, and maintains latency
/// baselines. The times passed to successive calls must not decrease.
class LoadReporter {
 public:
  /// Creates a reporter for a member of `zone`, in an installation with `zones` zones and `request_classes`
  /// classes.
  LoadReporter(int zone, std::size_t zones, std::size_t request_classes);

  /// Records a client's request; `work` is in ms on a standard core.
  void RequestArrived(TimePoint now, double work);
  /// Records the start of an attempt; `attempt` is the caller's id, unique among the attempts in flight.
  void AttemptStarted(TimePoint now, std::uint64_t attempt, std::size_t zone);
  /// Records the end of an attempt; ignores an attempt that was not started.
  void AttemptEnded(TimePoint now, std::uint64_t attempt, const AttemptResult& result);
  /// Sets ZoneLoad::warm_backends by zone.
  void UpdateWarmBackends(std::vector<double> warm_backends) { warm_backends_ = std::move(warm_backends); }

  /// Builds the report of the last second, for a member that acts on the decision of `epoch`.
  LoadReport BuildReport(TimePoint now, std::uint64_t epoch);

 private:
  static constexpr int kBuckets = 4;
  static constexpr Duration kBucketLength{250};
  // Sums over the attempts of one zone.
  struct ZoneTotals {
    double attempts = 0;
    double failures = 0;
    double served = 0;               // work, ms
    double latency_ratio = 0;        // sum over `latency_samples`
    double latency_ms = 0;           // sum over `latency_samples`
    double latency_samples = 0;      // served answers with a valid latency
    double utilization = 0;          // sum over `utilization_samples`
    double utilization_samples = 0;  // answers with a reported utilization

    ZoneTotals& operator+=(const ZoneTotals& other);
  };
  struct Bucket {
    double demand = 0;  // work, ms
    std::vector<ZoneTotals> zones;
  };
  // Typical latency of one request class's answers from one zone, scaled to the class's mean work.
  struct LatencyBaseline {
    double ms = 0;
    int samples = 0;
  };
  struct AttemptInFlight {
    std::size_t zone = 0;
    TimePoint started{};
  };

  void Advance(TimePoint now);
  Bucket& CurrentBucket() { return buckets_[static_cast<std::size_t>(current_)]; }
  void RecordServed(const AttemptResult& result, std::size_t zone, ZoneTotals* totals);
  double LatencyScale(const AttemptResult& result);
  double LongestBaseline(std::size_t zone) const;
  double WindowMs(TimePoint now) const;
  std::vector<ZoneTotals> SumOfBuckets() const;
  std::vector<double> OverdueAttempts(TimePoint now) const;
  std::vector<double> RecentAnswers() const;

  int zone_;
  std::size_t zones_;
  std::array<Bucket, kBuckets> buckets_;
  int current_ = 0;
  TimePoint bucket_started_at_{};
  TimePoint started_at_{};
  std::map<std::uint64_t, AttemptInFlight> in_flight_;
  std::vector<std::vector<LatencyBaseline>> baselines_;  // by zone and class
  std::vector<double> mean_work_;                        // by class
  std::vector<double> warm_backends_;                    // by zone
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_LOAD_REPORTER_H_
