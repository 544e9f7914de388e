// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The clocks that all processes of a run share.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_CLOCK_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_CLOCK_H_

#include <chrono>

namespace badgerbridge::multiprocess {

/// CLOCK_MONOTONIC in ms.
double NowMs();

/// A moment of the steady clock, which is CLOCK_MONOTONIC here, in ms.
double ToMs(std::chrono::steady_clock::time_point moment);

/// The wall clock, ms since 1970.
double UnixMs();

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_CLOCK_H_
