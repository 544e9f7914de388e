// SPDX-License-Identifier: Apache-2.0
/// \file
/// Allocates memory before a change that must not fail halfway.
#ifndef BADGERBRIDGE_BALANCER_RESERVE_H_
#define BADGERBRIDGE_BALANCER_RESERVE_H_

#include <vector>

namespace badgerbridge::balancer {

/// Ensures capacity for one more element, so that appending it does not throw.
template <typename T>
void ReserveOne(std::vector<T>& elements) {
  if (elements.size() == elements.capacity()) elements.reserve(2 * elements.size() + 1);
}

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_RESERVE_H_
