// SPDX-License-Identifier: Apache-2.0
/// \file
/// The idempotency keys recently sent to a backend.
#ifndef BADGERBRIDGE_BALANCER_KEY_AFFINITY_H_
#define BADGERBRIDGE_BALANCER_KEY_AFFINITY_H_

#include <cstdint>
#include <map>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// The keys for which a backend is assumed to hold warm state. One per backend; empty unless
/// Settings::key_affinity is set.
class KeyAffinity {
 public:
  /// Records that a request with `key` is sent to the backend.
  void Record(std::uint64_t key, TimePoint now) { last_sent_[key] = now; }

  /// Whether the backend is assumed to serve `key` with less work.
  bool IsWarm(std::uint64_t key, TimePoint now) const {
    const auto found = last_sent_.find(key);
    return found != last_sent_.end() && now - found->second < kMaxAge;
  }

  /// Removes the keys that are no longer warm.
  void Expire(TimePoint now) {
    std::erase_if(last_sent_, [now](const auto& entry) { return now - entry.second >= kMaxAge; });
  }

  bool empty() const { return last_sent_.empty(); }  ///< Whether no key is recorded.

 private:
  static constexpr Duration kMaxAge{4000};  // warm state is assumed until then

  std::map<std::uint64_t, TimePoint> last_sent_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_KEY_AFFINITY_H_
