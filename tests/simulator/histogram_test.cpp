// SPDX-License-Identifier: Apache-2.0
#include "simulator/histogram.h"

#include <gtest/gtest.h>

namespace badgerbridge::simulator {
namespace {

TEST(Histogram, ManyTimes_QuantilesWithinABucket) {
  Histogram all;
  Histogram half;
  for (int i = 1; i <= 100000; ++i) (i % 2 ? all : half).Add(i * 0.01);
  all.Add(half);
  EXPECT_EQ(all.count(), 100000u);
  EXPECT_NEAR(all.mean(), 500.005, 1e-6);
  EXPECT_EQ(all.max(), 1000);
  for (const double quantile : {0.001, 0.01, 0.5, 0.9, 0.99, 0.999, 1.0})
    EXPECT_NEAR(all.Quantile(quantile), quantile * 1000, quantile * 1000 / 120 + 0.011) << quantile;
  EXPECT_EQ(Histogram().Quantile(0.5), 0);
}

}  // namespace
}  // namespace badgerbridge::simulator
