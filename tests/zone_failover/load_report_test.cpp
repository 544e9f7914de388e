// SPDX-License-Identifier: Apache-2.0
//
// Codec of load reports and the measurements for them.
#include "zone_failover/load_report.h"

#include <gtest/gtest.h>

#include <limits>
#include <string>

#include "zone_failover/load_reporter.h"

namespace badgerbridge::zone_failover {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(1e6 + ms)); }

TEST(LoadReport, EncodedReportIsDecodedUnchanged) {
  LoadReport report;
  report.epoch = 7;
  report.zone = 1;
  report.demand = 3.25;
  report.suspects_itself = true;
  report.zones = {{10, 1, 2.5, 1.25, 30, 0.5, 4}, {0, 0, 0, 1, 0, -1, 0}};
  const auto read = DecodeLoadReport(Encode(report), 2);
  ASSERT_TRUE(read.has_value()) << Message(read.error());
  EXPECT_EQ(*read, report);
}

TEST(LoadReport, MalformedTextIsAnErrorAndHugeNumbersAreBounded) {
  const std::string good = Encode(LoadReport{1, 0, 1, false, {{}, {}}});
  ASSERT_TRUE(DecodeLoadReport(good, 2).has_value());
  for (const std::string& text :
       {std::string(), std::string("null"), std::string("{}"), std::string(9000, '['),
        good.substr(0, good.size() / 2),
        std::string(R"({"v":1,"epoch":1,"zone":2,"demand":1,"zones":[[0,0,0,1,0,-1,0],[0,0,0,1,0,-1,0]]})"),
        std::string(
            R"({"v":1,"epoch":-1e99,"zone":0.5,"demand":1,"zones":[[0,0,0,1,0,-1,0],[0,0,0,1,0,-1,0]]})"),
        std::string(R"({"v":1,"epoch":1,"zone":0,"demand":NaN,"zones":[[0,0,0,1,0,-1,0],[0,0,0,1,0,-1,0]]})"),
        std::string(R"({"v":1,"epoch":1,"zone":0,"demand":1,"zones":[[0,0,0,1,0,-1],[0,0,0,1,0,-1,0]]})"),
        std::string(
            R"({"v":2,"epoch":1,"zone":0,"demand":1,"zones":[[0,0,0,1,0,-1,0],[0,0,0,1,0,-1,0]]})")}) {
    const auto read = DecodeLoadReport(text, 2);
    ASSERT_FALSE(read.has_value()) << text;
    EXPECT_FALSE(Message(read.error()).empty());
  }
  // Implausibly large numbers are clamped.
  const auto bounded = DecodeLoadReport(
      R"({"v":1,"epoch":1,"zone":0,"demand":1e300,"zones":[[1e300,2e300,1e300,1e300,1e300,9,1e300],[0,0,0,1,0,-1,0]]})",
      2);
  ASSERT_TRUE(bounded.has_value()) << Message(bounded.error());
  EXPECT_LE(bounded->demand, 1e6);
  EXPECT_LE(bounded->zones[0].failures, bounded->zones[0].attempts);
  EXPECT_LE(bounded->zones[0].utilization, 1);
}

TEST(LoadReporter, MemberThatSeesAllZonesFailSuspectsItself) {
  LoadReporter reporter(0, 2, 1);
  for (std::uint64_t i = 0; i < 10; ++i) {
    reporter.AttemptStarted(At(10.0 * static_cast<double>(i)), i, i % 2);
    reporter.AttemptEnded(At(10.0 * static_cast<double>(i) + 5), i,
                          {0, AttemptOutcome::kFailed, Duration(5), 1, std::nullopt});
  }
  EXPECT_TRUE(reporter.BuildReport(At(200), 0).suspects_itself);
}

TEST(LoadReporter, UnansweredAttemptsCountAsFailuresBeforeTheyTimeOut) {
  LoadReporter reporter(0, 1, 1);
  for (std::uint64_t i = 0; i < 20; ++i) {
    reporter.AttemptStarted(At(10.0 * static_cast<double>(i)), i, 0);
    reporter.AttemptEnded(
        At(10.0 * static_cast<double>(i) + 8), i,
        {0, AttemptOutcome::kServed, Duration(8), 1, std::numeric_limits<double>::quiet_NaN()});
  }
  for (std::uint64_t i = 100; i < 110; ++i) reporter.AttemptStarted(At(1500), i, 0);
  EXPECT_EQ(reporter.BuildReport(At(1600), 0).zones[0].failures, 0);
  const LoadReport late = reporter.BuildReport(At(2100), 0);
  EXPECT_EQ(late.zones[0].failures, 10);
  EXPECT_EQ(late.zones[0].utilization, -1);
}

}  // namespace
}  // namespace badgerbridge::zone_failover
