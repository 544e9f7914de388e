// SPDX-License-Identifier: Apache-2.0
/// \file
/// Bounds the retries of a proxy to a share of its first attempts.
#ifndef BADGERBRIDGE_BALANCER_RETRY_BUDGET_H_
#define BADGERBRIDGE_BALANCER_RETRY_BUDGET_H_

#include <algorithm>

namespace badgerbridge::balancer {

/// A token bucket: each first attempt adds kTokensPerFirstAttempt, each retry takes one token.
class RetryBudget {
 public:
  /// Whether the budget permits a retry that adds load.
  bool HasToken() const { return tokens_ >= 1; }

  /// Counts the first attempt of a request.
  void RecordFirstAttempt() { tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt); }

  /// Counts a retry; one that adds no load may be sent without a token.
  void RecordRetry() { tokens_ = std::max(0.0, tokens_ - 1); }

 private:
  static constexpr double kTokensPerFirstAttempt = 0.1;  // bounds a retry storm to a tenth
  static constexpr double kMaxTokens = 20;

  double tokens_ = kMaxTokens;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_RETRY_BUDGET_H_
