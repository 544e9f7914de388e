// SPDX-License-Identifier: Apache-2.0
/// @file
/// Measures what one proxy sends to each zone and how that ends, and makes its load reports of it. Pure.
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

/// How an attempt ended, as far as it tells of its zone.
enum class AttemptOutcome {
  kServed,     ///< answered well
  kFailed,     ///< an error, a time-out, a reset or no connection: counts against the zone
  kRejected,   ///< answered, and not served
  kCancelled,  ///< given up for reasons of this proxy or its client: tells nothing
};

/// An attempt that has ended.
struct AttemptResult {
  std::size_t request_class = 0;                     ///< index of the request's class
  AttemptOutcome outcome = AttemptOutcome::kServed;  ///< how it ended
  Duration latency{0};                               ///< from its start to its end
  double work = 0;                                   ///< ms on a standard core, as the client hints it
  /// As the answer's backend reports it; NaN and what is out of 0 to 1 counts as none.
  std::optional<double> utilization;
};

/// Counts over a sliding window of a second, in buckets of 250 ms, and learns what latency is usual. Calls
/// come with times that never go back.
class LoadReporter {
 public:
  /// For a member of `zone` in an installation of `zones` zones and `request_classes` classes.
  LoadReporter(int zone, std::size_t zones, std::size_t request_classes);

  /// A client's request came in; `work` in ms on a standard core.
  void RequestArrived(TimePoint now, double work);
  /// An attempt goes out; `attempt` is a number of the caller's, unique while the attempt is out.
  void AttemptStarted(TimePoint now, std::uint64_t attempt, std::size_t zone);
  /// An attempt has ended; one that was not started is ignored.
  void AttemptEnded(TimePoint now, std::uint64_t attempt, const AttemptResult& result);
  /// The weight of warm backends in each zone of the endpoint list, as in ZoneLoad::warm_backends.
  void UpdateWarmBackends(std::vector<double> warm_backends) { warm_backends_ = std::move(warm_backends); }

  /// What was seen over the last second, by a member that acts on the decision of `epoch`.
  LoadReport BuildReport(TimePoint now, std::uint64_t epoch);

 private:
  static constexpr int kBuckets = 4;
  static constexpr Duration kBucketLength{250};
  // Sums over the attempts of one zone.
  struct ZoneTotals {
    double attempts = 0;
    double failures = 0;
    double served = 0;               // work, ms
    double latency_ratio = 0;        // sum over `timed`
    double latency_ms = 0;           // sum over `timed`
    double timed = 0;                // answers whose latency counts
    double utilization = 0;          // sum over `utilization_samples`
    double utilization_samples = 0;  // answers with a report

    ZoneTotals& operator+=(const ZoneTotals& other);
  };
  struct Bucket {
    double demand = 0;  // work, ms
    std::vector<ZoneTotals> zones;
  };
  // Usual latency of a class's answers from one zone, over the work that they are.
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
  TimePoint bucket_began_{};
  TimePoint began_{};
  std::map<std::uint64_t, AttemptInFlight> in_flight_;
  std::vector<std::vector<LatencyBaseline>> baselines_;  // by zone and class
  std::vector<double> mean_work_;                        // by class
  std::vector<double> warm_backends_;                    // by zone
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_LOAD_REPORTER_H_
