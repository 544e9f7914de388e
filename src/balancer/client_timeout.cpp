// SPDX-License-Identifier: Apache-2.0
#include "balancer/client_timeout.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::balancer {
namespace {

constexpr double kTolerance = 0.04;         // part by which time-outs may differ and still be the same
constexpr int kMinVotes = 10;               // below, nothing is made of it: clients may differ widely
constexpr int kMaxVotes = 50;               // for the usual time-out
constexpr double kRetryElapsedShare = 0.5;  // of what may have passed before a client's own retry

}  // namespace

Duration ClientTimeouts::RecordAndEstimateElapsed(const Submit& submit, Duration class_deadline,
                                                  TimePoint now) {
  UsualTimeout& usual = usual_[static_cast<std::size_t>(submit.request_class)];
  const Duration left = submit.due - now;
  const bool is_usual = std::abs((left - usual.timeout).count()) <= kTolerance * usual.timeout.count();
  if (is_usual) {
    usual.votes = std::min(kMaxVotes, usual.votes + 1);
  } else if (!submit.client_retry) {
    --usual.votes;
    if (usual.votes < 0) {
      usual.timeout = left;
      usual.votes = 0;
    }
  }
  if (usual.votes < kMinVotes) return Duration(0);
  const Duration max_elapsed = std::max(Duration(0), class_deadline - left);
  if (!is_usual) return max_elapsed;
  return submit.client_retry ? max_elapsed * kRetryElapsedShare : Duration(0);
}

}  // namespace badgerbridge::balancer
