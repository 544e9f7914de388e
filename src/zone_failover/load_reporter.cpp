// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/load_reporter.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::zone_failover {
namespace {

constexpr double kMaxLatencyRatio = 1000;  // of one answer
constexpr double kMaxLatencyMs = 6e5;      // of one answer
constexpr double kBaselineGain = 0.02;     // of one answer in the long run
constexpr double kMaxBaselineRatio = 1.5;  // a slower answer counts as this much slower than the baseline
constexpr double kOutlierRatio = 4;        // an answer that is slower teaches the baseline nothing
constexpr int kMinSamples = 10;            // answers before a baseline is known
constexpr double kMaxWorkRatio = 10;       // of one request's work to its class's mean
constexpr double kOverdueRatio = 6;        // times the baseline, for an attempt that is out
constexpr Duration kMinOverdue{500};
constexpr double kMinAttempts = 3;        // in a second, to judge a zone
constexpr double kMaxFailureShare = 0.5;  // of attempts: above, a zone fails
constexpr double kMinWindowMs = 50;
constexpr int kMinZonesToSuspectItself = 2;

bool IsUtilization(const std::optional<double>& utilization) {
  return utilization && std::isfinite(*utilization) && *utilization >= 0 && *utilization <= 1;
}

// As in Lifeguard (Dadgar, Phillips, Currey, 2018): a member that sees all others fail is likely to be the
// one that fails.
bool SeesAllZonesFail(const std::vector<ZoneLoad>& zones) {
  int judged = 0;
  int failing = 0;
  for (const ZoneLoad& zone : zones) {
    if (zone.attempts < kMinAttempts) continue;
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
  timed += other.timed;
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
  if (began_ == TimePoint{}) {
    began_ = now;
    bucket_began_ = now;
  }
  for (int i = 0; now - bucket_began_ >= kBucketLength; ++i) {
    if (i > kBuckets) {  // nothing came for so long that all buckets are empty
      bucket_began_ = now;
      break;
    }
    bucket_began_ += kBucketLength;
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

// By how much longer than one of mean work this request may take. Work is hinted roughly: a request of half
// the mean is not taken to be done in half the time.
double LoadReporter::LatencyScale(const AttemptResult& result) {
  double& mean = mean_work_[result.request_class];
  mean = mean == 0 ? result.work : mean + kBaselineGain * (result.work - mean);
  return mean > 0 ? 0.5 + 0.5 * std::min(result.work / mean, kMaxWorkRatio) : 1;
}

void LoadReporter::RecordServed(const AttemptResult& result, std::size_t zone, ZoneTotals* totals) {
  totals->served += result.work;
  const double time = result.latency.count() / LatencyScale(result);
  if (!(time >= 0) || !std::isfinite(time)) return;
  LatencyBaseline& baseline = baselines_[zone][result.request_class];
  const bool known = baseline.samples >= kMinSamples;
  const double ratio = known && baseline.ms > 0 ? time / baseline.ms : 1;
  if (!known || ratio < kOutlierRatio) {
    // Close to a median: an answer that is much slower counts as a little slower.
    const double sample = known ? std::min(time, kMaxBaselineRatio * baseline.ms) : time;
    baseline.ms += std::max(kBaselineGain, 1.0 / (baseline.samples + 1)) * (sample - baseline.ms);
    ++baseline.samples;
  }
  ++totals->timed;
  totals->latency_ratio += std::min(ratio, kMaxLatencyRatio);
  totals->latency_ms += std::min(result.latency.count(), kMaxLatencyMs);
}

double LoadReporter::LongestBaseline(std::size_t zone) const {
  double longest = 0;
  for (const LatencyBaseline& baseline : baselines_[zone]) {
    if (baseline.samples >= kMinSamples) longest = std::max(longest, baseline.ms);
  }
  return longest;
}

// The newest bucket has begun some time ago; a new member has not seen a whole second.
double LoadReporter::WindowMs(TimePoint now) const {
  const double window = (kBuckets - 1) * kBucketLength.count() + (now - bucket_began_).count();
  return std::max(kMinWindowMs, std::min((now - began_).count(), window));
}

std::vector<LoadReporter::ZoneTotals> LoadReporter::SumOfBuckets() const {
  std::vector<ZoneTotals> sums(zones_);
  for (const Bucket& bucket : buckets_) {
    for (std::size_t zone = 0; zone < zones_; ++zone) sums[zone] += bucket.zones[zone];
  }
  return sums;
}

// By zone: attempts that are out for much longer than answers from there usually take.
std::vector<double> LoadReporter::OverdueAttempts(TimePoint now) const {
  std::vector<double> overdue(zones_);
  for (const auto& [attempt, in_flight] : in_flight_) {
    const double baseline = LongestBaseline(in_flight.zone);
    const double limit = std::max(kMinOverdue.count(), kOverdueRatio * baseline);
    if (baseline > 0 && (now - in_flight.started).count() > limit) ++overdue[in_flight.zone];
  }
  return overdue;
}

// By zone: answers in the two newest buckets.
std::vector<double> LoadReporter::RecentAnswers() const {
  std::vector<double> answers(zones_);
  for (const int back : {0, 1}) {
    const Bucket& bucket = buckets_[static_cast<std::size_t>((current_ + kBuckets - back) % kBuckets)];
    for (std::size_t zone = 0; zone < zones_; ++zone) answers[zone] += bucket.zones[zone].timed;
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
    // While answers come, an attempt that is out for long is slow and not lost.
    const double unanswered = answers[i] > 0 ? 0 : overdue[i];
    zone.attempts = sum.attempts + unanswered;
    zone.failures = sum.failures + unanswered;
    zone.served = sum.served / window_ms;
    zone.warm_backends = i < warm_backends_.size() ? warm_backends_[i] : 0;
    if (sum.timed > 0) {
      zone.latency_ratio = sum.latency_ratio / sum.timed;
      zone.latency_ms = sum.latency_ms / sum.timed;
    }
    if (sum.utilization_samples > 0) zone.utilization = sum.utilization / sum.utilization_samples;
  }
  report.suspects_itself = SeesAllZonesFail(report.zones);
  return report;
}

}  // namespace badgerbridge::zone_failover
