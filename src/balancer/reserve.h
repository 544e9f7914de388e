// SPDX-License-Identifier: Apache-2.0
/// \file
/// Allocation ahead of a change that must not fail half-way.
#ifndef FORDLB_SRC_BALANCER_RESERVE_H_
#define FORDLB_SRC_BALANCER_RESERVE_H_

#include <vector>

namespace fordlb {

/// Grows a vector for one more element, so that appending it does not throw.
template <typename T>
void ReserveOne(std::vector<T>& elements) {
  if (elements.size() == elements.capacity()) elements.reserve(2 * elements.size() + 1);
}

}  // namespace fordlb

#endif  // FORDLB_SRC_BALANCER_RESERVE_H_
