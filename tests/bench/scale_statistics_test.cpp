// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "scale_rig/statistics.h"

namespace badgerbridge::scale {
namespace {

TEST(ScaleStatistics, PercentilesAreByNearestRank) {
  const std::vector<double> values = {15, 20, 35, 40, 50};  // the textbook's example
  EXPECT_EQ(Percentile(values, 0.05), 15);
  EXPECT_EQ(Percentile(values, 0.30), 20);
  EXPECT_EQ(Percentile(values, 0.40), 20);
  EXPECT_EQ(Percentile(values, 0.50), 35);
  EXPECT_EQ(Percentile(values, 1.00), 50);
  EXPECT_EQ(Percentile(values, 0), 15);
}

TEST(ScaleStatistics, OrderDoesNotMatterAndNothingGivesZero) {
  EXPECT_EQ(Percentile({3, 1, 2}, 0.5), 2);
  EXPECT_EQ(Percentile({}, 0.5), 0);
  EXPECT_EQ(Summarize({}).count, 0u);
}

TEST(ScaleStatistics, OneInAHundredIsSeenByTheWorstAndNotByP99) {
  std::vector<double> values(100, 1);
  values[17] = 1000;
  const Distribution all = Summarize(values);
  EXPECT_EQ(all.count, 100u);
  EXPECT_EQ(all.p50, 1);
  EXPECT_EQ(all.p99, 1);
  EXPECT_EQ(all.worst, 1000);
  values[18] = 1000;
  EXPECT_EQ(Summarize(values).p99, 1000);
}

}  // namespace
}  // namespace badgerbridge::scale
