// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Counts the bytes that a test program has allocated. Linking allocated_bytes.cpp replaces the global
/// operator new and operator delete; for single-threaded tests.
#ifndef BADGERBRIDGE_TESTS_SUPPORT_ALLOCATED_BYTES_H_
#define BADGERBRIDGE_TESTS_SUPPORT_ALLOCATED_BYTES_H_

#include <cstddef>

namespace badgerbridge::testing {

/// The bytes that operator new has given out and operator delete has not taken back.
std::size_t AllocatedBytes();

}  // namespace badgerbridge::testing

#endif  // BADGERBRIDGE_TESTS_SUPPORT_ALLOCATED_BYTES_H_
