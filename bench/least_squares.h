// SPDX-License-Identifier: Apache-2.0
//
// A straight line through measured points: y = constant + slope * x, by least squares, with its residuals.
#ifndef BADGERBRIDGE_BENCH_LEAST_SQUARES_H_
#define BADGERBRIDGE_BENCH_LEAST_SQUARES_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <vector>

namespace badgerbridge::bench {

struct Point {
  double x = 0;
  double y = 0;
};

// A fitted line. `slope` is in units of y for one unit of x, `constant` and the residuals in units of y.
struct Line {
  double slope = 0;
  double constant = 0;
  double root_mean_square_residual = 0;
  double worst_relative_residual =
      0;                 // the largest |measured - fitted| / |measured|; points with y = 0 left out
  double r_squared = 0;  // share of y's variance that the line explains; 1 where y does not vary
  double smallest_x = 0;
  double largest_x = 0;
  std::size_t points = 0;
  bool determined = false;  // at least two different x; otherwise slope and constant are NaN

  double At(double x) const { return constant + slope * x; }
  // Whether At(x) is extrapolated beyond `times` the largest size measured.
  bool ExtrapolatedBeyond(double x, double times) const { return x > times * largest_x; }
};

enum class Weighting {
  kAbsolute,  // each point's distance counts alike
  kRelative,  // each point's distance counts as a share of its y: small sizes are not drowned by large ones
};

namespace internal {

inline double WeightOf(const Point& point, Weighting weighting) {
  if (weighting == Weighting::kAbsolute || point.y == 0) return 1;
  return 1 / (point.y * point.y);
}

inline void AddResiduals(const std::vector<Point>& points, Line* line) {
  double mean = 0;
  for (const Point& point : points) mean += point.y / static_cast<double>(points.size());
  double residual_squares = 0;
  double variance_squares = 0;
  for (const Point& point : points) {
    const double residual = point.y - line->At(point.x);
    residual_squares += residual * residual;
    variance_squares += (point.y - mean) * (point.y - mean);
    if (point.y != 0) {
      line->worst_relative_residual = std::max(line->worst_relative_residual, std::abs(residual / point.y));
    }
  }
  line->root_mean_square_residual = std::sqrt(residual_squares / static_cast<double>(points.size()));
  line->r_squared = variance_squares > 0 ? 1 - residual_squares / variance_squares : 1;
}

}  // namespace internal

// Fits a line; O(points), no side effects. Residuals are those of the line returned, unweighted.
// The sums are taken about the weighted mean of x, so that sizes of 1e5 lose no digits.
inline Line FitLine(const std::vector<Point>& points, Weighting weighting = Weighting::kAbsolute) {
  Line line;
  line.points = points.size();
  line.slope = line.constant = std::numeric_limits<double>::quiet_NaN();
  if (points.empty()) return line;
  line.smallest_x = line.largest_x = points.front().x;
  double weights = 0;
  double mean_x = 0;
  double mean_y = 0;
  for (const Point& point : points) {
    const double weight = internal::WeightOf(point, weighting);
    weights += weight;
    mean_x += weight * point.x;
    mean_y += weight * point.y;
    line.smallest_x = std::min(line.smallest_x, point.x);
    line.largest_x = std::max(line.largest_x, point.x);
  }
  if (line.smallest_x == line.largest_x) return line;
  mean_x /= weights;
  mean_y /= weights;
  double covariance = 0;
  double variance = 0;
  for (const Point& point : points) {
    const double weight = internal::WeightOf(point, weighting);
    covariance += weight * (point.x - mean_x) * (point.y - mean_y);
    variance += weight * (point.x - mean_x) * (point.x - mean_x);
  }
  line.determined = true;
  line.slope = covariance / variance;
  line.constant = mean_y - line.slope * mean_x;
  internal::AddResiduals(points, &line);
  return line;
}

}  // namespace badgerbridge::bench

#endif  // BADGERBRIDGE_BENCH_LEAST_SQUARES_H_
