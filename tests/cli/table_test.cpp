// SPDX-License-Identifier: Apache-2.0
#include "cli/table.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <sstream>

namespace badgerbridge::cli {
namespace {

TEST(Table, ColumnsAreAsWideAsTheirWidestCell) {
  Table table({"NAME", "STATE", "NOTE"});
  table.Add({"n1", "ready", ""});
  table.Add({"a-long-name", "draining", "x"});
  EXPECT_EQ(table.ToString(),
            "NAME         STATE     NOTE\n"
            "n1           ready\n"
            "a-long-name  draining  x\n");
}

TEST(Table, StatesAreColoredBelowTheHeaderWithoutChangingTheWidths) {
  Table table({"ready", "NOTE"}, true);
  table.Add({"ready", "x"});
  table.Add({"failed", "y"});
  EXPECT_EQ(table.ToString(),
            "ready   NOTE\n"
            "\x1b[32mready\x1b[0m   x\n"
            "\x1b[31mfailed\x1b[0m  y\n");
}

TEST(Table, OneWithoutRowsIsPrintedOnlyOnRequest) {
  const Table table({"NAME"});
  EXPECT_TRUE(table.empty());
  EXPECT_EQ(table.ToString(), "NAME\n");
  EXPECT_EQ(table.ToStringUnlessEmpty(), "");
}

TEST(Table, JsonIsOneLineInPlaceOfTheTable) {
  Table table({"NAME"});
  table.Add({"n1"});
  std::ostringstream json;
  WriteJsonOrTable(json, true, boost::json::array{"n1"}, table);
  EXPECT_EQ(json.str(), "[\"n1\"]\n");
  std::ostringstream text;
  WriteJsonOrTable(text, false, boost::json::array{"n1"}, table);
  EXPECT_EQ(text.str(), "NAME\nn1\n");
}

TEST(FormatAge, UnitsGrowWithTheTime) {
  EXPECT_EQ(FormatAge(999), "999 ms");
  EXPECT_EQ(FormatAge(1000), "1.0 s");
  EXPECT_EQ(FormatAge(59'999), "59.9 s");
  EXPECT_EQ(FormatAge(60'000), "1 m 0 s");
  EXPECT_EQ(FormatAge(3'599'999), "59 m 59 s");
  EXPECT_EQ(FormatAge(3'600'000), "1 h 0 m");
  EXPECT_EQ(FormatAge(90'000'000), "25 h 0 m");
}

}  // namespace
}  // namespace badgerbridge::cli
