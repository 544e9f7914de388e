// SPDX-License-Identifier: Apache-2.0
//
// Arrival times of the bytes in an input buffer.
#ifndef BADGERBRIDGE_PROXY_ARRIVAL_TIMES_H_
#define BADGERBRIDGE_PROXY_ARRIVAL_TIMES_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// Tracks the arrival time of the oldest byte in a FIFO buffer. The caller reports the bytes added and
/// consumed. At most 64 arrival times are kept; bytes added beyond that get the arrival time of the last one
/// kept, so the result may be too early but never too late.
class ArrivalTimes {
 public:
  /// Records that `bytes` bytes arrived at `arrived_at`. Throws std::bad_alloc.
  void Add(std::size_t bytes, TimePoint arrived_at) {
    if (bytes == 0) return;
    if (ranges_.size() >= kMaxRanges) {
      ranges_.back().bytes += bytes;
    } else {
      ranges_.push_back({bytes, arrived_at});
    }
  }

  /// Records that the oldest `bytes` bytes were removed from the buffer.
  void Consume(std::size_t bytes) {
    while (bytes > 0 && !ranges_.empty()) {
      Range& oldest = ranges_.front();
      const std::size_t consumed = std::min(bytes, oldest.bytes);
      oldest.bytes -= consumed;
      bytes -= consumed;
      if (oldest.bytes == 0) ranges_.erase(ranges_.begin());
    }
  }

  /// Whether the buffer is empty.
  bool empty() const { return ranges_.empty(); }
  /// The arrival time of the oldest byte. Requires !empty().
  TimePoint Oldest() const { return ranges_.front().arrived_at; }

 private:
  static constexpr std::size_t kMaxRanges = 64;
  struct Range {
    std::size_t bytes;
    TimePoint arrived_at;
  };
  std::vector<Range> ranges_;  // oldest first; the bytes of each arrived together
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ARRIVAL_TIMES_H_
