// SPDX-License-Identifier: Apache-2.0
/// \file
/// Which requests are within the quota of their tenant.
#ifndef FORDLB_SRC_BALANCER_TENANT_QUOTA_H_
#define FORDLB_SRC_BALANCER_TENANT_QUOTA_H_

#include <vector>

#include "fordlb/balancer.h"

namespace fordlb {

/// A token bucket for each tenant, with this proxy's part of the tenant's quota. A request beyond it is not
/// rejected for that, but has less priority (Settings::over_share_worth).
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

}  // namespace fordlb

#endif  // FORDLB_SRC_BALANCER_TENANT_QUOTA_H_
