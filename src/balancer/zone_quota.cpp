// SPDX-License-Identifier: Apache-2.0
#include "balancer/zone_quota.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::balancer {

ZoneQuotaBuckets::ZoneQuotaBuckets(const Settings& settings) {
  for (const ClassSettings& request_class : settings.classes) {
    max_priority_weight_ = std::max(max_priority_weight_, request_class.priority_weight);
  }
}

void ZoneQuotaBuckets::Update(const ZoneQuotas& quotas, TimePoint now) {
  buckets_.resize(quotas.work_per_ms.size());
  for (std::size_t zone = 0; zone < buckets_.size(); ++zone) {
    Bucket& bucket = buckets_[zone];
    if (bucket.work_per_ms < 0) {
      bucket.work_ms = 0;  // a previously unlimited zone starts with an empty bucket
      bucket.refilled_at = now;
    }
    Refill(bucket, now);  // accrues at the old rate until now
    const double rate = quotas.work_per_ms[zone];
    bucket.work_per_ms = std::isfinite(rate) ? rate : -1;
  }
}

void ZoneQuotaBuckets::Refill(Bucket& bucket, TimePoint now) {
  const double max_work_ms = std::max(0.0, bucket.work_per_ms) * kBurstDuration.count();
  bucket.work_ms =
      std::min(max_work_ms, bucket.work_ms + bucket.work_per_ms * (now - bucket.refilled_at).count());
  bucket.refilled_at = now;
}

}  // namespace badgerbridge::balancer
