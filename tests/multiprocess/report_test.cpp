// SPDX-License-Identifier: Apache-2.0
//
// The last line of a run, which scripts parse.
#include "multiprocess/report.h"

#include <gtest/gtest.h>

namespace badgerbridge::multiprocess {
namespace {

constexpr double kElapsedMs = 12345;

simulator::Model MakeModel() {
  simulator::Model model;
  model.name = "plan";
  return model;
}

RunOutcome MakeOutcome() {
  RunOutcome outcome;
  outcome.processes = 14;
  outcome.verdict.requests = 10;
  outcome.verdict.served = 8;
  outcome.verdict.rejected = 1;
  outcome.verdict.failed = 1;
  outcome.verdict.offered_weight = 8;
  outcome.verdict.earned_weight = 7;
  return outcome;
}

TEST(ReportTest, SummaryLineOfAPassedRun) {
  EXPECT_EQ(SummaryLine(MakeModel(), 7, MakeOutcome(), kElapsedMs),
            "trial: plan=\"plan\" seed=7 processes=14 requests=10 served=8 refused=1 failed=1 unsent=0 "
            "excused=0 unjudged=0 lost=0 doubled=0 twice=0 late_sends=0 after_departure=0 too_long=0 fell=0 "
            "unaccounted=0 troubles=0 worth=0.875 seconds=12.3 holds");
}

TEST(ReportTest, SummaryLineHasTheFieldsOfPlansThatNeedThem) {
  simulator::Model model = MakeModel();
  model.multiprocess.runs_zone_failover = true;
  model.multiprocess.raw_clients = 2;
  RunOutcome outcome = MakeOutcome();
  outcome.epoch = 5;
  outcome.audit = {4, 0, 0};
  outcome.max_quota_ratio = 1;
  outcome.verdict.slow_starts = 3;
  outcome.verdict.max_slow_start_ratio = 0.5;
  outcome.restart_times_ms = {120, std::nullopt};
  outcome.stalls = 287;
  outcome.stalls_at_work = 31;
  outcome.verdict.cancelled = 6;
  outcome.verdict.late = 2;
  outcome.verdict.close_races = 1;
  outcome.verdict.stop_races = 4;
  outcome.verdict.repeats_after_kill = 5;
  const std::string line = SummaryLine(model, 7, outcome, kElapsedMs);
  const std::string expected =
      " seconds=12.3 epoch=5 decisions=4 disorder=0 unfenced=0 worst_receiver=1.000 cold_starts=3 "
      "over_cold=0 worst_cold=0.50 restarts=2 ready_share=0.50 slowest_ready_ms=120 stalls=287 left=6 late=2 "
      "crossed=1 raced=4 stops_at_work=31 after_kill=5 BROKEN";
  ASSERT_GE(line.size(), expected.size());
  EXPECT_EQ(line.substr(line.size() - expected.size()), expected);
}

TEST(ReportTest, AFaultOrTooLittleWeightFailsARun) {
  simulator::Model model = MakeModel();
  RunOutcome outcome = MakeOutcome();
  EXPECT_TRUE(HasPassed(model, outcome));
  model.multiprocess.min_weight_percent = 88;
  EXPECT_FALSE(HasPassed(model, outcome));
  model.multiprocess.min_weight_percent = 87;
  EXPECT_TRUE(HasPassed(model, outcome));
  outcome.faults.push_back({ProcessFaultKind::kEnded, "n1", "with 3"});
  EXPECT_FALSE(HasPassed(model, outcome));
}

TEST(ReportTest, FailureLineNamesTheReason) {
  EXPECT_EQ(FailureLine(MakeModel(), 7, "no proxy"), "trial: plan=\"plan\" seed=7 did not run: no proxy");
}

}  // namespace
}  // namespace badgerbridge::multiprocess
