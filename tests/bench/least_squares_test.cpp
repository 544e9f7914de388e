// SPDX-License-Identifier: Apache-2.0
#include "least_squares.h"

#include <gtest/gtest.h>

#include <cmath>

namespace badgerbridge::bench {
namespace {

TEST(LeastSquares, FindsAnExactLineWithoutResiduals) {
  const Line line = FitLine({{10, 7}, {1000, 2977}, {10000, 29977}, {110000, 329977}});
  ASSERT_TRUE(line.determined);
  EXPECT_NEAR(line.slope, 3, 1e-9);
  EXPECT_NEAR(line.constant, -23, 1e-6);
  EXPECT_NEAR(line.root_mean_square_residual, 0, 1e-6);
  EXPECT_NEAR(line.r_squared, 1, 1e-12);
  EXPECT_EQ(line.points, 4u);
  EXPECT_EQ(line.smallest_x, 10);
  EXPECT_EQ(line.largest_x, 110000);
  EXPECT_NEAR(line.At(20), 37, 1e-6);
}

// By hand: mean (2.5, 3.5), covariance 7, variance 5; residuals 0.6, -0.8, -0.2, 0.4 of y = 0 + 1.4 x.
TEST(LeastSquares, GivesTheResidualsOfPointsBesideTheLine) {
  const Line line = FitLine({{1, 2}, {2, 2}, {3, 4}, {4, 6}});
  EXPECT_NEAR(line.slope, 1.4, 1e-12);
  EXPECT_NEAR(line.constant, 0, 1e-12);
  EXPECT_NEAR(line.root_mean_square_residual, std::sqrt((0.36 + 0.64 + 0.04 + 0.16) / 4), 1e-12);
  EXPECT_NEAR(line.worst_relative_residual, 0.4, 1e-12);
  EXPECT_NEAR(line.r_squared, 1 - 1.2 / 11, 1e-12);
}

TEST(LeastSquares, RelativeWeightsKeepSmallSizesFromBeingDrowned) {
  const std::vector<Point> points = {{10, 10}, {100, 100}, {1000, 1000}, {100000, 150000}};
  EXPECT_GT(std::abs(FitLine(points).At(10) - 10), 100);
  EXPECT_LT(std::abs(FitLine(points, Weighting::kRelative).At(10) - 10), 2);
}

TEST(LeastSquares, IsNotDeterminedByOneSize) {
  EXPECT_FALSE(FitLine({}).determined);
  const Line line = FitLine({{5, 1}, {5, 3}});
  EXPECT_FALSE(line.determined);
  EXPECT_TRUE(std::isnan(line.slope));
}

TEST(LeastSquares, SaysWhatIsExtrapolated) {
  const Line line = FitLine({{1, 1}, {1000, 1000}});
  EXPECT_FALSE(line.ExtrapolatedBeyond(3000, 3));
  EXPECT_TRUE(line.ExtrapolatedBeyond(3001, 3));
}

TEST(LeastSquares, ALevelLineExplainsAll) {
  const Line line = FitLine({{1, 4}, {2, 4}, {3, 4}, {4, 4}});
  EXPECT_EQ(line.slope, 0);
  EXPECT_EQ(line.constant, 4);
  EXPECT_EQ(line.r_squared, 1);
}

}  // namespace
}  // namespace badgerbridge::bench
