// SPDX-License-Identifier: Apache-2.0
/// @file
/// How much a member may send to each zone: by its grants while it is in contact, and by standby after that.
#include <algorithm>

#include "zone_failover/member.h"

namespace badgerbridge::zone_failover {
namespace {

constexpr double kMinAttemptsToJudge = 3;  // in a second
constexpr double kMaxFailureShare = 0.5;   // of attempts: above, the zone fails
constexpr double kMaxLatencyRatio = 3;     // of the baseline: above, the zone fails

}  // namespace

bool Member::HomeZoneFails() const {
  if (last_report_.zones.empty()) return false;
  const ZoneLoad& home = last_report_.zones[home_];
  if (home.attempts < kMinAttemptsToJudge || last_report_.suspects_itself) return false;
  return home.failures > kMaxFailureShare * home.attempts || home.latency_ratio > kMaxLatencyRatio;
}

std::vector<double> Member::ZoneQuotas(TimePoint now) const {
  if (!decision_) return QuotasWithoutDecision(now);
  if (!settings_.coordinated || IsInContact(now)) return QuotasByGrants(now);
  return QuotasByStandby(now);
}

// For a while its own zone alone, then as if zone failover were switched off.
std::vector<double> Member::QuotasWithoutDecision(TimePoint now) const {
  const bool waited = began_ != TimePoint{} && now - began_ > settings_.failover.grant_hold;
  const bool unlimited = !settings_.coordinated || waited;
  std::vector<double> quotas(settings_.failover.zones, unlimited ? kUnlimited : 0);
  quotas[home_] = kUnlimited;
  return quotas;
}

std::vector<double> Member::QuotasByGrants(TimePoint now) const {
  const double members = std::max(1, decision_->zones[home_].members);
  const bool may_use_grants = !settings_.coordinated || IsAdmitted();
  std::vector<double> quotas(settings_.failover.zones);
  for (std::size_t receiver = 0; receiver < quotas.size(); ++receiver) {
    const double grant = decision_->grants.at(home_, receiver);
    quotas[receiver] = grant == kUnlimited ? kUnlimited : grant / members;
    if (may_use_grants || grant == kUnlimited) continue;
    // Before it is admitted: no more than it had, and than it will have.
    const double earlier = now < earlier_valid_until_ ? earlier_grants_.at(home_, receiver) : 0;
    if (earlier != kUnlimited) quotas[receiver] = std::min(quotas[receiver], earlier);
  }
  return quotas;
}

// Out of contact: its own zone as it finds it, and if that fails, its share of the standby capacity.
std::vector<double> Member::QuotasByStandby(TimePoint now) const {
  const FailoverSettings& failover = settings_.failover;
  const Decision::Zone& home = decision_->zones[home_];
  std::vector<double> quotas(failover.zones, 0);
  quotas[home_] = kUnlimited;
  const bool is_counted = create_revision_ > 0 && create_revision_ <= decision_->admitted_revision;
  const Duration out_of_contact_for = now - grants_valid_until_;
  const bool standby_is_kept =
      is_counted && out_of_contact_for < failover.standby_hold * (1 - failover.max_clock_drift);
  if (!standby_is_kept || !HomeZoneFails()) return quotas;
  const double sharing = std::max(1, home.members) + home.lost_members;
  for (std::size_t receiver = 0; receiver < quotas.size(); ++receiver) {
    if (receiver != home_) quotas[receiver] = decision_->standby.at(home_, receiver) / sharing;
  }
  return quotas;
}

}  // namespace badgerbridge::zone_failover
