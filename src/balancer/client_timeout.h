// SPDX-License-Identifier: Apache-2.0
/// \file
/// Finds out how much of a client's time has passed before a request reached this proxy.
#ifndef BADGERBRIDGE_BALANCER_CLIENT_TIMEOUT_H_
#define BADGERBRIDGE_BALANCER_CLIENT_TIMEOUT_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// The time that clients usually give an attempt, by request class.
///
/// Exception: what has passed of a client's deadline has passed of its latency objective. A client's last
/// attempt has what is left of its deadline, all others of a class have the same time: the usual one, found
/// by vote.
class ClientTimeouts {
 public:
  /// For `class_count` request classes.
  explicit ClientTimeouts(std::size_t class_count) : usual_(class_count) {}

  /// Takes in a request of a known class whose deadline in the settings is `class_deadline`, and returns how
  /// much of it is taken to have passed already.
  Duration RecordAndEstimateElapsed(const Submit& submit, Duration class_deadline, TimePoint now);

 private:
  struct UsualTimeout {
    Duration timeout{0};
    int votes = 0;
  };

  std::vector<UsualTimeout> usual_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_CLIENT_TIMEOUT_H_
