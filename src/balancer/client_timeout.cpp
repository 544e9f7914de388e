// SPDX-License-Identifier: Apache-2.0
#include "balancer/client_timeout.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::balancer {
namespace {

constexpr double kMaxRelativeDifference = 0.04;  // between timeouts that count as equal
constexpr int kMinVotesForEstimate = 10;  // below, the timeouts of clients differ too much for an estimate
constexpr int kMaxVotes = 50;             // bounds the time to adopt a changed timeout
// The actual elapsed time before a client's retry is unknown: half of the maximum is assumed.
constexpr double kElapsedShareBeforeClientRetry = 0.5;

}  // namespace

Duration ClientTimeouts::RecordAndEstimateElapsed(const Submit& submit, Duration class_deadline,
                                                  TimePoint now) {
  UsualTimeout& usual = usual_[static_cast<std::size_t>(submit.request_class)];
  const Duration left = submit.due - now;
  const bool is_usual =
      std::abs((left - usual.timeout).count()) <= kMaxRelativeDifference * usual.timeout.count();
  if (is_usual) {
    usual.votes = std::min(kMaxVotes, usual.votes + 1);
  } else if (!submit.client_retry) {
    --usual.votes;
    if (usual.votes < 0) {
      usual.timeout = left;
      usual.votes = 0;
    }
  }
  if (usual.votes < kMinVotesForEstimate) return Duration(0);
  const Duration max_elapsed = std::max(Duration(0), class_deadline - left);
  if (!is_usual) return max_elapsed;
  return submit.client_retry ? max_elapsed * kElapsedShareBeforeClientRetry : Duration(0);
}

}  // namespace badgerbridge::balancer
