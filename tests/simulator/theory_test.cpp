// SPDX-License-Identifier: Apache-2.0
//
// The model's backend where theory knows the answer: mean times in the system of M/M/1, M/M/c (Erlang C)
// and M/G/1 (Pollaczek and Khinchine), each within a 99.9 % interval from the means of independent runs.
#include <gtest/gtest.h>

#include <cmath>

#include "simulator/backend.h"
#include "simulator/histogram.h"

namespace badgerbridge::simulator {
namespace {

// Poisson arrivals at one backend, in virtual time; the mean time from arrival to end.
class Station : private Actor, private Backend::Watcher {
 public:
  Station(std::uint64_t seed, BackendModel model, Shape work, double gap)
      : backend_(queue_, *this, 0, model, Random(seed, 1)),
        arrivals_(seed, 2),
        works_(seed, 3),
        work_(work),
        gap_(gap) {
    backend_.Start(TimePoint{});
  }
  double MeanTime(int jobs) {
    left_ = jobs;
    queue_.At(TimePoint{}, this, 0);
    while (queue_.Step(TimePoint(Duration(1e300)))) {
    }
    return times_.mean();
  }
  int full() const { return full_; }

 private:
  void On(TimePoint now, std::uint32_t, std::uint64_t, std::uint64_t) override {
    if (left_-- == 0) return;
    began_.push_back(now);
    if (backend_.Take(now, began_.size() - 1, work_.Draw(works_)) == Backend::Begin::kFull) ++full_;
    queue_.At(now + Duration(arrivals_.Exponential(gap_)), this, 0);
  }
  void Began(TimePoint, std::size_t, JobId) override {}
  void Finished(TimePoint now, std::size_t, JobId job, bool) override {
    if (job > began_.size() / 10 || job > 20000) times_.Add((now - began_[job]).count());
  }
  void Dropped(TimePoint, std::size_t, JobId) override {}

  EventQueue queue_;
  Backend backend_;
  Random arrivals_, works_;
  Shape work_;
  double gap_;
  int left_ = 0, full_ = 0;
  std::vector<TimePoint> began_;
  Histogram times_;
};

void ExpectMean(double expected, BackendModel model, Shape work, double gap) {
  constexpr int kRuns = 12, kJobs = 60000;
  model.queue = 1 << 30;
  std::vector<double> means;
  double sum = 0, squares = 0;
  for (int i = 0; i < kRuns; ++i)
    means.push_back(Station(static_cast<std::uint64_t>(i + 1), model, work, gap).MeanTime(kJobs));
  for (const double m : means) sum += m;
  const double mean = sum / kRuns;
  for (const double m : means) squares += (m - mean) * (m - mean);
  const double error = std::sqrt(squares / (kRuns - 1) / kRuns);
  EXPECT_NEAR(mean, expected, 4.437 * error) << "Student's t, 11 degrees of freedom, 99.9 %";
  EXPECT_LT(error, expected * 0.03) << "an interval that says nothing";
}

TEST(Theory, MM1) {
  BackendModel model;
  model.slots = 1;
  ExpectMean(10 / (1 - 0.7), model, {Shape::Kind::kExponential, 10, 1, {}}, 10 / 0.7);
}

TEST(Theory, MMcIsErlangC) {
  BackendModel model;
  model.slots = 4;
  const double offered = 4 * 0.8;
  double term = 1, sum = 1;
  for (int k = 1; k < 4; ++k) sum += term *= offered / k;
  const double last = term * offered / 4 / (1 - 0.8);
  const double waits = last / (sum + last);
  ExpectMean(10 + waits * 10 / (4 * (1 - 0.8)), model, {Shape::Kind::kExponential, 10, 1, {}}, 10 / offered);
}

TEST(Theory, MG1IsPollaczekKhinchine) {
  BackendModel model;
  model.slots = 1;
  for (const double spread : {0.5, 1.5}) {
    const double load = 0.6, mean = 10;
    const double wait = load / (1 - load) * mean * (1 + spread * spread) / 2;
    ExpectMean(mean + wait, model, {Shape::Kind::kLognormal, mean, spread, {}}, mean / load);
  }
}

TEST(Theory, MD1IsHalfTheWait) {
  BackendModel model;
  model.slots = 1;
  ExpectMean(10 + 0.8 / (1 - 0.8) * 10 / 2, model, {Shape::Kind::kConstant, 10, 1, {}}, 10 / 0.8);
}

TEST(Theory, ShapesHaveTheirMeans) {
  for (const Shape& shape :
       {Shape{Shape::Kind::kConstant, 7, 1, {}}, Shape{Shape::Kind::kExponential, 7, 1, {}},
        Shape{Shape::Kind::kLognormal, 7, 2, {}}, Shape{Shape::Kind::kPareto, 7, 3, {}},
        Shape{Shape::Kind::kTable, 0, 0, {1, 7, 13}}}) {
    Random random(5, 9);
    double sum = 0;
    for (int i = 0; i < 400000; ++i) sum += shape.Draw(random);
    EXPECT_NEAR(sum / 400000, shape.Mean(), 0.15) << static_cast<int>(shape.kind);
  }
}

TEST(Histogram, TellsQuantilesWithinABucket) {
  Histogram all, half;
  for (int i = 1; i <= 100000; ++i) (i % 2 ? all : half).Add(i * 0.01);
  all.Add(half);
  EXPECT_EQ(all.count(), 100000u);
  EXPECT_NEAR(all.mean(), 500.005, 1e-6);
  EXPECT_EQ(all.most(), 1000);
  for (const double q : {0.001, 0.01, 0.5, 0.9, 0.99, 0.999, 1.0})
    EXPECT_NEAR(all.Quantile(q), q * 1000, q * 1000 / 120 + 0.011) << q;
  EXPECT_EQ(Histogram().Quantile(0.5), 0);
}

// What is asked for at one moment comes in that order, or in another that the seed alone decides.
TEST(EventQueue, TiesAreInOrderOrInTheSeedsOrder) {
  struct Notes : Actor {
    void On(TimePoint, std::uint32_t what, std::uint64_t, std::uint64_t) override { seen.push_back(what); }
    std::vector<std::uint32_t> seen;
  };
  const auto order = [](std::uint64_t seed) {
    EventQueue queue(seed);
    Notes notes;
    for (std::uint32_t i = 0; i < 6; ++i) queue.At(TimePoint(Duration(3)), &notes, i);
    queue.At(TimePoint(Duration(1)), &notes, 9);
    while (queue.Step(TimePoint(Duration(3)))) {
    }
    EXPECT_EQ(queue.steps(), 7u);
    return notes.seen;
  };
  EXPECT_EQ(order(0), (std::vector<std::uint32_t>{9, 0, 1, 2, 3, 4, 5}));
  EXPECT_EQ(order(5), order(5));
  EXPECT_NE(order(5), order(6));
  EXPECT_EQ(order(5).front(), 9u);
}

}  // namespace
}  // namespace badgerbridge::simulator
