// SPDX-License-Identifier: Apache-2.0
//
// When the bytes of a buffer came.
#ifndef BADGERBRIDGE_PROXY_ARRIVAL_TIMES_H_
#define BADGERBRIDGE_PROXY_ARRIVAL_TIMES_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// Tells when the oldest byte of a first-in, first-out buffer came. Pure: the caller tells what is put in and
/// taken out. Where many small pieces stand in the buffer, some of them count as older than they are; none
/// counts as younger.
class ArrivalTimes {
 public:
  void Added(std::size_t bytes, TimePoint at) {
    if (bytes == 0) return;
    if (pieces_.size() >= kMostPieces) {
      pieces_.back().bytes += bytes;
    } else {
      pieces_.push_back({bytes, at});
    }
  }

  void Consumed(std::size_t bytes) {
    while (bytes > 0 && !pieces_.empty()) {
      Piece& oldest = pieces_.front();
      const std::size_t of_it = std::min(bytes, oldest.bytes);
      oldest.bytes -= of_it;
      bytes -= of_it;
      if (oldest.bytes == 0) pieces_.erase(pieces_.begin());
    }
  }

  bool empty() const { return pieces_.empty(); }
  /// Of the oldest byte. Requires that there is one.
  TimePoint Oldest() const { return pieces_.front().at; }

 private:
  static constexpr std::size_t kMostPieces = 64;
  struct Piece {
    std::size_t bytes;
    TimePoint at;
  };
  std::vector<Piece> pieces_;  // the oldest first
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ARRIVAL_TIMES_H_
