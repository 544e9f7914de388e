// SPDX-License-Identifier: Apache-2.0
//
// When the bytes of an input buffer came.
#ifndef BADGERBRIDGE_PROXY_ARRIVAL_TIMES_H_
#define BADGERBRIDGE_PROXY_ARRIVAL_TIMES_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// Gives the arrival time of the oldest byte in a first-in, first-out buffer. Pure: the caller reports what
/// is added and consumed. With more than 64 pieces in the buffer the later ones count as older than they are;
/// none counts as younger.
class ArrivalTimes {
 public:
  /// Notes that `bytes` bytes came at `arrived_at`. Throws std::bad_alloc.
  void Add(std::size_t bytes, TimePoint arrived_at) {
    if (bytes == 0) return;
    if (pieces_.size() >= kMaxPieces) {
      pieces_.back().bytes += bytes;
    } else {
      pieces_.push_back({bytes, arrived_at});
    }
  }

  /// Notes that the oldest `bytes` bytes were taken out.
  void Consume(std::size_t bytes) {
    while (bytes > 0 && !pieces_.empty()) {
      Piece& oldest = pieces_.front();
      const std::size_t consumed = std::min(bytes, oldest.bytes);
      oldest.bytes -= consumed;
      bytes -= consumed;
      if (oldest.bytes == 0) pieces_.erase(pieces_.begin());
    }
  }

  /// Whether the buffer is empty.
  bool empty() const { return pieces_.empty(); }
  /// The arrival time of the oldest byte. Requires !empty().
  TimePoint Oldest() const { return pieces_.front().arrived_at; }

 private:
  static constexpr std::size_t kMaxPieces = 64;
  struct Piece {
    std::size_t bytes;
    TimePoint arrived_at;
  };
  std::vector<Piece> pieces_;  // oldest first
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ARRIVAL_TIMES_H_
