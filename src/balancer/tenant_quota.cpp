// SPDX-License-Identifier: Apache-2.0
#include "balancer/tenant_quota.h"

#include <algorithm>
#include <cstddef>

namespace badgerbridge::balancer {
namespace {

constexpr double kBurstMs = 2000;        // a bucket holds the quota of this time
constexpr double kMinBurstRequests = 1;  // however small the quota

}  // namespace

TenantQuotas::TenantQuotas(const Settings& settings) {
  for (const TenantSettings& tenant : settings.tenants) {
    buckets_.push_back({.tokens_per_ms = tenant.quota_per_s / settings.balancer_count / 1000});
  }
}

bool TenantQuotas::Acquire(int tenant) {
  if (tenant < 0 || tenant >= static_cast<int>(buckets_.size())) return true;
  double& tokens = buckets_[static_cast<std::size_t>(tenant)].tokens;
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

void TenantQuotas::Refill(double elapsed_ms) {
  for (Bucket& bucket : buckets_) {
    const double burst = std::max(kMinBurstRequests, bucket.tokens_per_ms * kBurstMs);
    bucket.tokens = std::min(burst, bucket.tokens + bucket.tokens_per_ms * elapsed_ms);
  }
}

}  // namespace badgerbridge::balancer
