// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The choice of a share of a zone's members.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_EVEN_SELECTOR_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_EVEN_SELECTOR_H_

namespace badgerbridge::multiprocess {

/// Selects a share of a zone's members, evenly spread over their order, as the simulator does.
class EvenSelector {
 public:
  /// `zone`: negative stands for every zone. `share`: of the members, from 0 to 1.
  EvenSelector(int zone, double share) : zone_(zone), share_(share) {}

  /// Whether the next member, of this zone, is selected.
  bool Selects(int zone) {
    if (zone_ >= 0 && zone != zone_) return false;
    accrued_ += share_;
    if (accrued_ < 1 - kRoundingTolerance) return false;
    accrued_ -= 1;
    return true;
  }

 private:
  static constexpr double kRoundingTolerance = 1e-9;

  int zone_;
  double share_;
  double accrued_ = 0;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_EVEN_SELECTOR_H_
