// SPDX-License-Identifier: Apache-2.0
/// \file
/// Limits retries to a fraction of the first attempts.
#ifndef BADGERBRIDGE_BALANCER_RETRY_BUDGET_H_
#define BADGERBRIDGE_BALANCER_RETRY_BUDGET_H_

#include <algorithm>

namespace badgerbridge::balancer {

/// A token bucket: each first attempt adds kTokensPerFirstAttempt, and each retry takes one token.
class RetryBudget {
 public:
  /// Whether a retry that adds load is permitted.
  bool HasToken() const { return tokens_ >= 1; }

  /// Counts the first attempt of a request.
  void RecordFirstAttempt() { tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt); }

  /// Takes a token for a retry, if there is one; retries that add no load don't require it.
  void RecordRetry() { tokens_ = std::max(0.0, tokens_ - 1); }

 private:
  static constexpr double kTokensPerFirstAttempt = 0.1;  // limits the added load of a retry storm to 10 %
  static constexpr double kMaxTokens = 20;

  double tokens_ = kMaxTokens;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_RETRY_BUDGET_H_
