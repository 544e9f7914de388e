// SPDX-License-Identifier: Apache-2.0
/// \file
/// Limits the work that this proxy sends to each zone.
#ifndef BADGERBRIDGE_BALANCER_ZONE_QUOTA_H_
#define BADGERBRIDGE_BALANCER_ZONE_QUOTA_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// A token bucket per zone, in ms of work.
///
/// Exception, where quotas are set by a ZoneQuotas event: a zone whose quota is exhausted is skipped. Each
/// bucket holds the quota of one second, of which requests of low priority leave up to half to others.
class ZoneQuotaBuckets {
 public:
  /// All zones are unlimited until the first update.
  explicit ZoneQuotaBuckets(const Settings& settings);

  /// Replaces the quotas; zones that they don't cover are unlimited.
  void Update(const ZoneQuotas& quotas, TimePoint now);

  /// The share of a zone's bucket reserved from requests with this priority weight.
  double ReservedShare(double priority_weight) const {
    return kMaxReservedShare * (1 - priority_weight / max_priority_weight_);
  }

  /// Whether a request that must leave `reserved_share` of the bucket may be sent to `zone` now.
  bool HasCapacity(int zone, double reserved_share, TimePoint now) {
    Bucket* const bucket = Find(zone);
    if (bucket == nullptr || bucket->work_per_ms < 0) return true;
    Refill(*bucket, now);
    return bucket->work_ms > reserved_share * bucket->work_per_ms * kBurstDuration.count();
  }

  /// Deducts work from the bucket of `zone`, if it has one.
  void Spend(int zone, double work_ms) {
    if (Bucket* const bucket = Find(zone)) bucket->work_ms -= work_ms;
  }

  /// Returns the work of an attempt that was never sent.
  void Refund(int zone, double work_ms) {
    if (Bucket* const bucket = Find(zone)) bucket->work_ms += work_ms;
  }

 private:
  static constexpr Duration kBurstDuration{1000};   // a bucket holds the quota of this time
  static constexpr double kMaxReservedShare = 0.5;  // of a bucket, for requests of higher priority

  struct Bucket {
    double work_per_ms = -1;  // negative: unlimited
    double work_ms = 0;       // available now
    TimePoint refilled_at{};
  };

  Bucket* Find(int zone) {
    const bool is_known = zone >= 0 && static_cast<std::size_t>(zone) < buckets_.size();
    return is_known ? &buckets_[static_cast<std::size_t>(zone)] : nullptr;
  }
  static void Refill(Bucket& bucket, TimePoint now);

  double max_priority_weight_ = 1e-9;  // of all classes; positive to avoid division by zero
  std::vector<Bucket> buckets_;        // indexed by zone
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ZONE_QUOTA_H_
