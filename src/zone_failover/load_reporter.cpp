// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/load_reporter.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::zone_failover {
namespace {

constexpr double kMaxLatencyRatio = 1000;
constexpr double kMaxLatencyMs = 6e5;
constexpr double kSmoothingFactor = 0.02;
// Latencies are capped at this multiple of the baseline before they update it.
constexpr double kMaxBaselineSampleRatio = 1.5;
// Answers slower than this multiple of the baseline do not update it.
constexpr double kOutlierRatio = 4;
constexpr int kMinBaselineSamples = 10;
constexpr double kMaxWorkRatio = 10;
// An attempt in flight is overdue after this multiple of the baseline.
constexpr double kOverdueRatio = 6;
constexpr Duration kMinOverdueTime{500};
constexpr double kMinAttemptsPerSecond = 3;
constexpr double kMaxFailureShare = 0.5;
constexpr double kMinWindowMs = 50;
constexpr int kMinZonesToSuspectItself = 2;

bool IsUtilization(const std::optional<double>& utilization) {
  return utilization && std::isfinite(*utilization) && *utilization >= 0 && *utilization <= 1;
}

// As in Lifeguard (Dadgar, Phillips, Currey, 2018): a member that sees all others fail is probably faulty
// itself.
bool SeesAllZonesFail(const std::vector<ZoneLoad>& zones) {
  int judged = 0;
  int failing = 0;
  for (const ZoneLoad& zone : zones) {
    if (zone.attempts < kMinAttemptsPerSecond) continue;
    ++judged;
    failing += zone.failures > kMaxFailureShare * zone.attempts;
  }
  return judged >= kMinZonesToSuspectItself && failing == judged;
}

}  // namespace

LoadReporter::ZoneTotals& LoadReporter::ZoneTotals::operator+=(const ZoneTotals& other) {
  attempts += other.attempts;
  failures += other.failures;
  served += other.served;
  latency_ratio += other.latency_ratio;
  latency_ms += other.latency_ms;
  latency_samples += other.latency_samples;
  utilization += other.utilization;
  utilization_samples += other.utilization_samples;
  return *this;
}

LoadReporter::LoadReporter(int zone, std::size_t zones, std::size_t request_classes)
    : zone_(zone),
      zones_(zones),
      baselines_(zones, std::vector<LatencyBaseline>(request_classes)),
      mean_work_(request_classes) {
  for (Bucket& bucket : buckets_) bucket.zones.resize(zones);
}

void LoadReporter::Advance(TimePoint now) {
  if (started_at_ == TimePoint{}) {
    started_at_ = now;
    bucket_started_at_ = now;
  }
  for (int i = 0; now - bucket_started_at_ >= kBucketLength; ++i) {
    if (i > kBuckets) {  // all buckets have expired
      bucket_started_at_ = now;
      break;
    }
    bucket_started_at_ += kBucketLength;
    current_ = (current_ + 1) % kBuckets;
    CurrentBucket() = Bucket{0, std::vector<ZoneTotals>(zones_)};
  }
}

void LoadReporter::RequestArrived(TimePoint now, double work) {
  Advance(now);
  CurrentBucket().demand += work;
}

void LoadReporter::AttemptStarted(TimePoint now, std::uint64_t attempt, std::size_t zone) {
  Advance(now);
  if (zone < zones_) in_flight_.emplace(attempt, AttemptInFlight{zone, now});
}

void LoadReporter::AttemptEnded(TimePoint now, std::uint64_t attempt, const AttemptResult& result) {
  Advance(now);
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end()) return;
  const std::size_t zone = found->second.zone;
  in_flight_.erase(found);
  if (result.outcome == AttemptOutcome::kCancelled) return;
  ZoneTotals& totals = CurrentBucket().zones[zone];
  ++totals.attempts;
  if (result.outcome == AttemptOutcome::kFailed) ++totals.failures;
  if (IsUtilization(result.utilization)) {
    totals.utilization += *result.utilization;
    ++totals.utilization_samples;
  }
  if (result.outcome == AttemptOutcome::kServed && result.request_class < mean_work_.size())
    RecordServed(result, zone, &totals);
}

// Returns the expected latency relative to a request of mean work. Work hints are rough, so the latency is
// not assumed to be proportional: a request of half the mean work scales to 0.75.
double LoadReporter::LatencyScale(const AttemptResult& result) {
  double& mean = mean_work_[result.request_class];
  mean = mean == 0 ? result.work : mean + kSmoothingFactor * (result.work - mean);
  return mean > 0 ? 0.5 + 0.5 * std::min(result.work / mean, kMaxWorkRatio) : 1;
}

void LoadReporter::RecordServed(const AttemptResult& result, std::size_t zone, ZoneTotals* totals) {
  totals->served += result.work;
  const double time = result.latency.count() / LatencyScale(result);
  if (!(time >= 0) || !std::isfinite(time)) return;
  LatencyBaseline& baseline = baselines_[zone][result.request_class];
  const bool known = baseline.samples >= kMinBaselineSamples;
  const double ratio = known && baseline.ms > 0 ? time / baseline.ms : 1;
  if (!known || ratio < kOutlierRatio) {
    // Capping slow answers keeps the baseline close to the median.
    const double sample = known ? std::min(time, kMaxBaselineSampleRatio * baseline.ms) : time;
    baseline.ms += std::max(kSmoothingFactor, 1.0 / (baseline.samples + 1)) * (sample - baseline.ms);
    ++baseline.samples;
  }
  ++totals->latency_samples;
  totals->latency_ratio += std::min(ratio, kMaxLatencyRatio);
  totals->latency_ms += std::min(result.latency.count(), kMaxLatencyMs);
}

double LoadReporter::LongestBaseline(std::size_t zone) const {
  double longest = 0;
  for (const LatencyBaseline& baseline : baselines_[zone]) {
    if (baseline.samples >= kMinBaselineSamples) longest = std::max(longest, baseline.ms);
  }
  return longest;
}

// The newest bucket is partially filled, and a new member has measured less than a second.
double LoadReporter::WindowMs(TimePoint now) const {
  const double window = (kBuckets - 1) * kBucketLength.count() + (now - bucket_started_at_).count();
  return std::max(kMinWindowMs, std::min((now - started_at_).count(), window));
}

std::vector<LoadReporter::ZoneTotals> LoadReporter::SumOfBuckets() const {
  std::vector<ZoneTotals> sums(zones_);
  for (const Bucket& bucket : buckets_) {
    for (std::size_t zone = 0; zone < zones_; ++zone) sums[zone] += bucket.zones[zone];
  }
  return sums;
}

// Returns by zone the number of attempts in flight for much longer than the zone's baseline latency.
std::vector<double> LoadReporter::OverdueAttempts(TimePoint now) const {
  std::vector<double> overdue(zones_);
  for (const auto& [attempt, in_flight] : in_flight_) {
    const double baseline = LongestBaseline(in_flight.zone);
    const double limit = std::max(kMinOverdueTime.count(), kOverdueRatio * baseline);
    if (baseline > 0 && (now - in_flight.started).count() > limit) ++overdue[in_flight.zone];
  }
  return overdue;
}

// Returns by zone the number of answers in the two newest buckets.
std::vector<double> LoadReporter::RecentAnswers() const {
  std::vector<double> answers(zones_);
  for (const int back : {0, 1}) {
    const Bucket& bucket = buckets_[static_cast<std::size_t>((current_ + kBuckets - back) % kBuckets)];
    for (std::size_t zone = 0; zone < zones_; ++zone) answers[zone] += bucket.zones[zone].latency_samples;
  }
  return answers;
}

LoadReport LoadReporter::BuildReport(TimePoint now, std::uint64_t epoch) {
  Advance(now);
  LoadReport report;
  report.epoch = epoch;
  report.zone = zone_;
  report.zones.resize(zones_);
  const double window_ms = WindowMs(now);
  for (const Bucket& bucket : buckets_) report.demand += bucket.demand;
  report.demand /= window_ms;
  const std::vector<ZoneTotals> sums = SumOfBuckets();
  const std::vector<double> overdue = OverdueAttempts(now);
  const std::vector<double> answers = RecentAnswers();
  for (std::size_t i = 0; i < zones_; ++i) {
    ZoneLoad& zone = report.zones[i];
    const ZoneTotals& sum = sums[i];
    // While the zone answers, an overdue attempt is slow rather than lost.
    const double unanswered = answers[i] > 0 ? 0 : overdue[i];
    zone.attempts = sum.attempts + unanswered;
    zone.failures = sum.failures + unanswered;
    zone.served = sum.served / window_ms;
    zone.warm_backends = i < warm_backends_.size() ? warm_backends_[i] : 0;
    if (sum.latency_samples > 0) {
      zone.latency_ratio = sum.latency_ratio / sum.latency_samples;
      zone.latency_ms = sum.latency_ms / sum.latency_samples;
    }
    if (sum.utilization_samples > 0) zone.utilization = sum.utilization / sum.utilization_samples;
  }
  report.suspects_itself = SeesAllZonesFail(report.zones);
  return report;
}

}  // namespace badgerbridge::zone_failover
