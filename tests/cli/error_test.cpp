// SPDX-License-Identifier: Apache-2.0
#include "cli/error.h"

#include <gtest/gtest.h>

#include <sstream>

namespace badgerbridge::cli {
namespace {

/// What Report prints and returns.
struct Reported {
  std::string text;
  ExitCode code = ExitCode::kSuccess;
};

Reported ReportOf(const CliError& error) {
  std::ostringstream err;
  const ExitCode code = Report(error, err);
  return {err.str(), code};
}

TEST(ExitCode, NumbersAreThoseThatScriptsRelyOn) {
  EXPECT_EQ(static_cast<int>(ExitCode::kSuccess), 0);
  EXPECT_EQ(static_cast<int>(ExitCode::kPartialFailure), 1);
  EXPECT_EQ(static_cast<int>(ExitCode::kUsage), 2);
  EXPECT_EQ(static_cast<int>(ExitCode::kConflict), 3);
  EXPECT_EQ(static_cast<int>(ExitCode::kNotAllowed), 4);
  EXPECT_EQ(static_cast<int>(ExitCode::kUnreachable), 5);
}

TEST(ExitCode, TheHighestOfSeveralHolds) {
  EXPECT_EQ(Worst(ExitCode::kConflict, ExitCode::kUsage), ExitCode::kConflict);
  EXPECT_EQ(Worst(ExitCode::kSuccess, ExitCode::kUnreachable), ExitCode::kUnreachable);
}

TEST(ReportError, EachInvalidDurationHasItsLine) {
  const Reported reported = ReportOf(InvalidDurations{{{"--ttl", "x"}, {"--drain-for", "y"}}});
  EXPECT_EQ(reported.code, ExitCode::kUsage);
  EXPECT_EQ(reported.text,
            "badgerbridge-ctl: --ttl x is no duration; \"250ms\", \"10s\" or \"2m\" would be right\n"
            "badgerbridge-ctl: --drain-for y is no duration; \"250ms\", \"10s\" or \"2m\" would be right\n");
}

TEST(ReportError, AFileHasTheCodeOfItsCommand) {
  const operator_config::Problems problems{{"f", 1, 2, "is wrong"}};
  const Reported used = ReportOf(InvalidFile{problems});
  EXPECT_EQ(used.code, ExitCode::kUsage);
  EXPECT_EQ(used.text, "f:1:2: is wrong\n");
  EXPECT_EQ(ReportOf(InvalidFile{problems, ExitCode::kPartialFailure}).code, ExitCode::kPartialFailure);
}

TEST(ReportError, AFailedRequestHasItsPeerAndItsCode) {
  const Reported reported = ReportOf(RequestFailed{"bay-1", "no answer", ExitCode::kUnreachable});
  EXPECT_EQ(reported.code, ExitCode::kUnreachable);
  EXPECT_EQ(reported.text, "badgerbridge-ctl: bay-1: no answer\n");
}

TEST(ReportError, AnUnknownZoneListsTheKnownOnes) {
  const Reported reported = ReportOf(UnknownZone{"q", {"a", "b"}});
  EXPECT_EQ(reported.code, ExitCode::kUsage);
  EXPECT_EQ(reported.text, "badgerbridge-ctl: there is no zone q; [regions] names a b\n");
}

TEST(ReportError, AnExistingOrderNamesItsPersonAndTheWayOut) {
  const Reported reported =
      ReportOf(EtcdError{EtcdError::Kind::kOrderExists, ExitCode::kConflict, "a", "ana"});
  EXPECT_EQ(reported.code, ExitCode::kConflict);
  EXPECT_EQ(reported.text,
            "badgerbridge-ctl: there is an order for a already, by ana; badgerbridge-ctl zones return a ends "
            "it\n");
}

}  // namespace
}  // namespace badgerbridge::cli
