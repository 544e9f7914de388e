// SPDX-License-Identifier: Apache-2.0
/// \file
/// How much work this proxy may send to each zone.
#ifndef BADGERBRIDGE_BALANCER_ZONE_QUOTA_H_
#define BADGERBRIDGE_BALANCER_ZONE_QUOTA_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// A bucket of work for each zone.
///
/// Exception, where something decides how much goes to each zone (ZoneQuotas): a zone whose quota is used up
/// is passed over. Each bucket holds a second's worth; requests of low priority leave most of it to others.
class ZoneQuotaBuckets {
 public:
  /// No zone has a limit until the first update.
  explicit ZoneQuotaBuckets(const Settings& settings);

  /// Sets the quotas from here on.
  void Update(const ZoneQuotas& quotas, TimePoint now);

  /// The part of a zone's bucket that a request class with this priority leaves to others.
  double ReservedShare(double priority_weight) const {
    return kMaxReservedShare * (1 - priority_weight / max_priority_weight_);
  }

  /// Whether a request that leaves `reserved_share` of the bucket to others may be sent to `zone` now.
  bool HasCapacity(int zone, double reserved_share, TimePoint now) {
    Bucket* const bucket = Find(zone);
    if (bucket == nullptr || bucket->work_per_ms < 0) return true;
    Refill(*bucket, now);
    return bucket->work_ms > reserved_share * bucket->work_per_ms * kBurst.count();
  }

  /// Takes work out of the bucket of `zone`, if it has one.
  void Spend(int zone, double work_ms) {
    if (Bucket* const bucket = Find(zone)) bucket->work_ms -= work_ms;
  }

  /// Puts back what was never sent.
  void Refund(int zone, double work_ms) {
    if (Bucket* const bucket = Find(zone)) bucket->work_ms += work_ms;
  }

 private:
  static constexpr Duration kBurst{1000};           // of a quota that may be used at once
  static constexpr double kMaxReservedShare = 0.5;  // of that, for requests of higher priority

  struct Bucket {
    double work_per_ms = -1;  // below 0: without limit
    double work_ms = 0;       // that may be sent now
    TimePoint refilled_at{};
  };

  Bucket* Find(int zone) {
    const bool is_known = zone >= 0 && static_cast<std::size_t>(zone) < buckets_.size();
    return is_known ? &buckets_[static_cast<std::size_t>(zone)] : nullptr;
  }
  static void Refill(Bucket& bucket, TimePoint now);

  double max_priority_weight_ = 1e-9;  // of the classes; not 0, since it divides
  std::vector<Bucket> buckets_;        // by zone
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_ZONE_QUOTA_H_
