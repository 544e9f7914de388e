// SPDX-License-Identifier: Apache-2.0
//
// Counts the descriptors of this process, to find those that are left open.
#ifndef BADGERBRIDGE_TESTS_SUPPORT_DESCRIPTORS_H_
#define BADGERBRIDGE_TESTS_SUPPORT_DESCRIPTORS_H_

#include <cstddef>
#include <filesystem>

namespace badgerbridge::testing {

/// Descriptors that are open, and the one of the count itself.
inline std::size_t CountDescriptors() {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
  return count;
}

}  // namespace badgerbridge::testing

#endif  // BADGERBRIDGE_TESTS_SUPPORT_DESCRIPTORS_H_
