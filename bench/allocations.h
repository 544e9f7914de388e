// SPDX-License-Identifier: Apache-2.0
//
// Bytes that operator new has given out and operator delete has not taken back, in this program. What
// libraries take from malloc directly (nghttp2, OpenSSL) is not in it.
#ifndef BADGERBRIDGE_BENCH_ALLOCATIONS_H_
#define BADGERBRIDGE_BENCH_ALLOCATIONS_H_

#include <cstddef>

namespace badgerbridge::bench {

// Bytes as malloc rounds them, with its header of one word a block.
std::size_t LiveBytes();
// The most that LiveBytes has been since the last ResetPeak.
std::size_t PeakBytes();
void ResetPeak();

}  // namespace badgerbridge::bench

#endif  // BADGERBRIDGE_BENCH_ALLOCATIONS_H_
