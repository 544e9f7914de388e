// SPDX-License-Identifier: Apache-2.0
/// \file
/// Request quotas of tenants.
#ifndef BADGERBRIDGE_BALANCER_TENANT_QUOTA_H_
#define BADGERBRIDGE_BALANCER_TENANT_QUOTA_H_

#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// A token bucket per tenant, with this proxy's part of the tenant's quota. A request over the quota is not
/// rejected, but its priority is lowered (Settings::over_quota_weight).
class TenantQuotas {
 public:
  /// Divides the quotas in the settings evenly among all proxies.
  explicit TenantQuotas(const Settings& settings);

  /// Takes a token for a request of `tenant`; false if there is none. Always true for tenants that are not in
  /// the settings.
  bool Acquire(int tenant);

  /// Adds the tokens of `elapsed_ms`, the time since the last call.
  void Refill(double elapsed_ms);

 private:
  struct Bucket {
    double tokens_per_ms = 0;
    double tokens = 1;
  };

  std::vector<Bucket> buckets_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_TENANT_QUOTA_H_
