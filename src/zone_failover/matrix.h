// SPDX-License-Identifier: Apache-2.0
/// @file
/// A square matrix of numbers by origin zone and receiver zone, and the representation of an unlimited grant.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_MATRIX_H_
#define BADGERBRIDGE_ZONE_FAILOVER_MATRIX_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace badgerbridge::zone_failover {

/// A grant without a limit; a healthy zone grants it to its own members.
constexpr double kUnlimited = -1;

/// Numbers by origin (zone of the sending member) and receiver (zone to which it sends).
class Matrix {
 public:
  /// Creates a matrix of 0 by 0 cells.
  Matrix() = default;
  /// Creates a matrix of `zones` by `zones` cells with the same value.
  explicit Matrix(std::size_t zones, double value = 0) : zones_(zones), cells_(zones * zones, value) {}

  /// Number of zones on each side.
  std::size_t zones() const { return zones_; }
  /// The cell of one pair of zones; both must be below `zones()`.
  double& at(std::size_t origin, std::size_t receiver) { return cells_[origin * zones_ + receiver]; }
  /// The cell of one pair of zones; both must be below `zones()`.
  double at(std::size_t origin, std::size_t receiver) const { return cells_[origin * zones_ + receiver]; }
  /// Compares all cells.
  friend bool operator==(const Matrix&, const Matrix&) = default;

 private:
  std::size_t zones_ = 0;
  std::vector<double> cells_;
};

/// The larger of two grants; `kUnlimited` is larger than any number.
inline double LargerGrant(double left, double right) {
  return left == kUnlimited || right == kUnlimited ? kUnlimited : std::max(left, right);
}

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_MATRIX_H_
