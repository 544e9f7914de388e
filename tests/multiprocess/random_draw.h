// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Draws that several parts of a run need.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_RANDOM_DRAW_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_RANDOM_DRAW_H_

#include "simulator/random.h"

namespace badgerbridge::multiprocess {

/// A number between two bounds, evenly distributed.
inline double DrawBetween(simulator::Random& random, double low, double high) {
  return low + random.DrawUnit() * (high - low);
}

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_RANDOM_DRAW_H_
