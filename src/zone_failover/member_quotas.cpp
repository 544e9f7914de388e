// SPDX-License-Identifier: Apache-2.0
/// @file
/// Computes how much a member may send to each zone: by its grants while it is in contact with etcd, and by
/// its share of the standby capacity after that.
#include <algorithm>

#include "zone_failover/member.h"

namespace badgerbridge::zone_failover {
namespace {

constexpr double kMinAttemptsPerSecond = 3;
constexpr double kMaxFailureShare = 0.5;
constexpr double kMaxLatencyRatio = 3;

}  // namespace

bool Member::HomeZoneFails() const {
  if (last_report_.zones.empty()) return false;
  const ZoneLoad& home = last_report_.zones[home_zone_];
  if (home.attempts < kMinAttemptsPerSecond || last_report_.suspects_itself) return false;
  return home.failures > kMaxFailureShare * home.attempts || home.latency_ratio > kMaxLatencyRatio;
}

std::vector<double> Member::ZoneQuotas(TimePoint now) const {
  if (!decision_) return QuotasWithoutDecision(now);
  if (!settings_.coordinated || IsInContact(now)) return QuotasByGrants(now);
  return QuotasByStandby(now);
}

// Allows only the home zone during the first grant_hold after the start, then all zones, as if zone failover
// were disabled.
std::vector<double> Member::QuotasWithoutDecision(TimePoint now) const {
  const bool waited = started_at_ != TimePoint{} && now - started_at_ > settings_.failover.grant_hold;
  const bool unlimited = !settings_.coordinated || waited;
  std::vector<double> quotas(settings_.failover.zones, unlimited ? kUnlimited : 0);
  quotas[home_zone_] = kUnlimited;
  return quotas;
}

std::vector<double> Member::QuotasByGrants(TimePoint now) const {
  const double members = std::max(1, decision_->zones[home_zone_].members);
  const bool may_use_grants = !settings_.coordinated || IsAdmitted();
  std::vector<double> quotas(settings_.failover.zones);
  for (std::size_t receiver = 0; receiver < quotas.size(); ++receiver) {
    const double grant = decision_->grants.at(home_zone_, receiver);
    quotas[receiver] = grant == kUnlimited ? kUnlimited : grant / members;
    if (may_use_grants || grant == kUnlimited) continue;
    // Until this member is admitted, the quota is the smaller of its earlier and its future share.
    const double earlier = now < earlier_valid_until_ ? earlier_grants_.at(home_zone_, receiver) : 0;
    if (earlier != kUnlimited) quotas[receiver] = std::min(quotas[receiver], earlier);
  }
  return quotas;
}

// Out of contact, the home zone is unlimited. If it fails, the member also uses its share of the standby
// capacity.
std::vector<double> Member::QuotasByStandby(TimePoint now) const {
  const FailoverSettings& failover = settings_.failover;
  const Decision::Zone& home = decision_->zones[home_zone_];
  std::vector<double> quotas(failover.zones, 0);
  quotas[home_zone_] = kUnlimited;
  const bool is_counted = create_revision_ > 0 && create_revision_ <= decision_->admitted_revision;
  const Duration out_of_contact_for = now - grants_valid_until_;
  const bool standby_is_kept =
      is_counted && out_of_contact_for < failover.standby_hold * (1 - failover.max_clock_drift);
  if (!standby_is_kept || !HomeZoneFails()) return quotas;
  const double sharing = std::max(1, home.members) + home.lost_members;
  for (std::size_t receiver = 0; receiver < quotas.size(); ++receiver) {
    if (receiver != home_zone_) quotas[receiver] = decision_->standby.at(home_zone_, receiver) / sharing;
  }
  return quotas;
}

}  // namespace badgerbridge::zone_failover
