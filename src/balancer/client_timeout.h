// SPDX-License-Identifier: Apache-2.0
/// \file
/// Estimates the part of a client's deadline that elapsed before its request reached this proxy.
#ifndef BADGERBRIDGE_BALANCER_CLIENT_TIMEOUT_H_
#define BADGERBRIDGE_BALANCER_CLIENT_TIMEOUT_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// The usual timeout of client requests, by request class.
///
/// Exception, if part of a client's deadline has elapsed: that part is deducted from the latency objective,
/// too. All tries of a client have the usual timeout of their class, except the last one, which has the rest
/// of the deadline. The usual timeout is found by majority vote.
class ClientTimeouts {
 public:
  /// `class_count` is the number of request classes.
  explicit ClientTimeouts(std::size_t class_count) : usual_(class_count) {}

  /// Records the timeout of a request of a known class and returns the estimated elapsed part of
  /// `class_deadline`, the deadline of its class in the settings.
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
