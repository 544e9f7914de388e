// SPDX-License-Identifier: Apache-2.0
/// \file
/// Which requests are within the quota of their tenant.
#ifndef BADGERBRIDGE_BALANCER_TENANT_QUOTA_H_
#define BADGERBRIDGE_BALANCER_TENANT_QUOTA_H_

#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// A token bucket for each tenant, with this proxy's part of the tenant's quota. A request beyond it is not
/// rejected for that, but has less priority (Settings::over_quota_weight).
class TenantQuotas {
 public:
  /// Divides the quotas of the settings evenly among all proxies.
  explicit TenantQuotas(const Settings& settings);

  /// Takes a token for a request of `tenant`; false if there is none. Tenants that the settings do not name
  /// have no limit.
  bool Acquire(int tenant);

  /// Adds the tokens that `elapsed_ms` bring.
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
