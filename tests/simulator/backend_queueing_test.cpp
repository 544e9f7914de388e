// SPDX-License-Identifier: Apache-2.0
//
// The model's backend where theory knows the answer: mean times in the system of M/M/1, M/M/c (Erlang C)
// and M/G/1 (Pollaczek and Khinchine), each within a 99.9 % interval from the means of independent runs.
#include <gtest/gtest.h>

#include <cmath>

#include "simulator/backend.h"
#include "simulator/distribution.h"
#include "simulator/histogram.h"

namespace badgerbridge::simulator {
namespace {

/// Poisson arrivals at one backend, in virtual time.
class Station : private Backend::Observer {
 public:
  Station(std::uint64_t seed, BackendModel model, Distribution work, double mean_gap_ms)
      : backend_(queue_, *this, 0, model, Random(seed, 1)),
        arrival_random_(seed, 2),
        work_random_(seed, 3),
        work_(work),
        mean_gap_ms_(mean_gap_ms) {
    backend_.Start(TimePoint{});
  }

  /// The mean time from arrival to end, ms, over `jobs` jobs without the first of them.
  double MeanTime(int jobs) {
    jobs_left_ = jobs;
    ScheduleArrival(TimePoint{});
    while (queue_.RunNext(TimePoint(Duration(1e300)))) {
    }
    return times_.mean();
  }

 private:
  static constexpr JobId kMaxWarmUpJobs = 20000;

  void ScheduleArrival(TimePoint at) {
    queue_.Schedule(at, [this](TimePoint now) { Arrive(now); });
  }
  void Arrive(TimePoint now) {
    if (jobs_left_-- == 0) return;
    arrived_at_.push_back(now);
    backend_.Submit(now, arrived_at_.size() - 1, work_.Draw(work_random_));
    ScheduleArrival(now + Duration(arrival_random_.DrawExponential(mean_gap_ms_)));
  }
  void OnJobStarted(TimePoint, std::size_t, JobId) override {}
  void OnJobFinished(TimePoint now, std::size_t, JobId job, bool) override {
    const bool is_warm = job > arrived_at_.size() / 10 || job > kMaxWarmUpJobs;
    if (is_warm) times_.Add((now - arrived_at_[job]).count());
  }
  void OnJobDropped(TimePoint, std::size_t, JobId) override {}

  EventQueue queue_;
  Backend backend_;
  Random arrival_random_;
  Random work_random_;
  Distribution work_;
  double mean_gap_ms_;
  int jobs_left_ = 0;
  std::vector<TimePoint> arrived_at_;  // by job
  Histogram times_;
};

/// Expects the mean time of a backend with an unbounded queue.
void ExpectMean(double expected, BackendModel model, Distribution work, double mean_gap_ms) {
  constexpr int kRuns = 12;
  constexpr int kJobs = 60000;
  constexpr double kStudentT = 4.437;  // 11 degrees of freedom, 99.9 %
  model.queue_capacity = 1 << 30;
  std::vector<double> means;
  for (int i = 0; i < kRuns; ++i)
    means.push_back(Station(static_cast<std::uint64_t>(i + 1), model, work, mean_gap_ms).MeanTime(kJobs));
  double sum = 0;
  for (const double each : means) sum += each;
  const double mean = sum / kRuns;
  double squares = 0;
  for (const double each : means) squares += (each - mean) * (each - mean);
  const double error = std::sqrt(squares / (kRuns - 1) / kRuns);
  EXPECT_NEAR(mean, expected, kStudentT * error);
  EXPECT_LT(error, expected * 0.03) << "an interval that says nothing";
}

TEST(BackendQueueing, MM1_MeanTimeAsInTheory) {
  BackendModel model;
  model.slots = 1;
  ExpectMean(10 / (1 - 0.7), model, {Distribution::Kind::kExponential, 10, 1, {}}, 10 / 0.7);
}

TEST(BackendQueueing, MMc_MeanTimeAsErlangC) {
  BackendModel model;
  model.slots = 4;
  const double offered = 4 * 0.8;
  double term = 1;
  double sum = 1;
  for (int busy = 1; busy < 4; ++busy) {
    term *= offered / busy;
    sum += term;
  }
  const double last = term * offered / 4 / (1 - 0.8);
  const double waits = last / (sum + last);
  ExpectMean(10 + waits * 10 / (4 * (1 - 0.8)), model, {Distribution::Kind::kExponential, 10, 1, {}},
             10 / offered);
}

TEST(BackendQueueing, MG1_MeanTimeAsPollaczekKhinchine) {
  BackendModel model;
  model.slots = 1;
  for (const double spread : {0.5, 1.5}) {
    const double load = 0.6;
    const double mean = 10;
    const double wait = load / (1 - load) * mean * (1 + spread * spread) / 2;
    ExpectMean(mean + wait, model, {Distribution::Kind::kLognormal, mean, spread, {}}, mean / load);
  }
}

TEST(BackendQueueing, MD1_HalfTheWaitOfMM1) {
  BackendModel model;
  model.slots = 1;
  ExpectMean(10 + 0.8 / (1 - 0.8) * 10 / 2, model, {Distribution::Kind::kConstant, 10, 1, {}}, 10 / 0.8);
}

}  // namespace
}  // namespace badgerbridge::simulator
