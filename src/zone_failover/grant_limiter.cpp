// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/grant_limiter.h"

#include <algorithm>

namespace badgerbridge::zone_failover {
namespace {

constexpr int kBisectionSteps = 30;
constexpr double kToleranceWorkPerMs = 1e-9;

// Computes the grants of one receiver by origin. They move from a base that increases no member's share
// towards the target, as far as the limit allows.
class ReceiverGrants {
 public:
  ReceiverGrants(const ReceiverDemand& demand, const std::vector<int>& members,
                 const std::vector<GrantHolders>& holders, const GrantBounds& bounds)
      : demand_(demand),
        members_(members),
        holders_(holders),
        bounds_(bounds),
        own_unlimited_(MayOwnMembersSendUnlimited()),
        capacity_(demand.limit - (own_unlimited_ ? demand.own_demand : 0)),
        absent_grants_(AbsentGrants()),
        target_(members.size()),
        base_(members.size()) {
    ComputeTarget();
    ComputeBase();
  }

  std::vector<double> Limited() const {
    const double step = LargestStep();
    std::vector<double> grants(members_.size());
    for (std::size_t origin = 0; origin < grants.size(); ++origin)
      grants[origin] = IsLimited(origin) ? GrantAt(origin, step) : demand_.wanted[origin];
    return grants;
  }

 private:
  double OldShare(const GrantHolders& holders) const { return bounds_.Max(holders, demand_.zone); }
  double GrantAt(std::size_t origin, double step) const {
    return base_[origin] + step * (target_[origin] - base_[origin]);
  }
  bool IsLimited(std::size_t origin) const { return origin != demand_.zone || !own_unlimited_; }

  bool MayOwnMembersSendUnlimited() const {
    if (demand_.wanted[demand_.zone] == kUnlimited) return true;
    return std::any_of(holders_.begin(), holders_.end(), [&](const GrantHolders& holders) {
      return holders.zone == demand_.zone && OldShare(holders) == kUnlimited;
    });
  }

  // Returns the total that members that are no longer present may still send.
  double AbsentGrants() const {
    double total = 0;
    for (const GrantHolders& holders : holders_) {
      if (!holders.present && IsLimited(holders.zone)) total += holders.count * OldShare(holders);
    }
    return total;
  }

  // Scales the wanted grants to the limit, for the time when all present members act on them.
  void ComputeTarget() {
    std::vector<int> absent(members_.size());
    for (const GrantHolders& holders : holders_) {
      if (!holders.present) absent[holders.zone] += holders.count;
    }
    double sum = 0;
    for (std::size_t origin = 0; origin < target_.size(); ++origin) {
      if (!IsLimited(origin)) continue;
      const double wanted = demand_.wanted[origin];
      const int members = members_[origin];
      const int present = members - absent[origin];
      // The present members share the grants of the absent ones.
      target_[origin] = present > 0 ? wanted * members / present : wanted;
      sum += target_[origin] * std::max(0, present) / members;
    }
    const double scale = sum > 0 ? std::clamp((capacity_ - absent_grants_) / sum, 0.0, 1.0) : 1;
    for (double& target : target_) target *= scale;
  }

  // The grants that each present member certainly has already, bounded by the target.
  void ComputeBase() {
    base_ = target_;
    for (const GrantHolders& holders : holders_) {
      if (!holders.present || !IsLimited(holders.zone)) continue;
      const double granted = members_[holders.zone] * std::max(0.0, bounds_.Min(holders, demand_.zone));
      base_[holders.zone] = std::min(base_[holders.zone], granted);
    }
  }

  // Returns the largest total of all members while each acts on its old share or on its new one.
  double MaxTotal(double step) const {
    double sum = absent_grants_;
    for (const GrantHolders& holders : holders_) {
      if (!holders.present || !IsLimited(holders.zone)) continue;
      const double new_share = GrantAt(holders.zone, step) / members_[holders.zone];
      sum += holders.count * std::max(OldShare(holders), new_share);
    }
    return sum;
  }

  // Returns the largest allowed step, from 0 (base) to 1 (target).
  double LargestStep() const {
    if (MaxTotal(1) <= capacity_ + kToleranceWorkPerMs) return 1;
    double low = 0;
    double high = 1;
    for (int i = 0; i < kBisectionSteps; ++i) {
      const double middle = (low + high) / 2;
      if (MaxTotal(middle) > capacity_) {
        high = middle;
      } else {
        low = middle;
      }
    }
    return low;
  }

  const ReceiverDemand& demand_;
  const std::vector<int>& members_;
  const std::vector<GrantHolders>& holders_;
  const GrantBounds& bounds_;
  const bool own_unlimited_;
  const double capacity_;  // for limited grants
  const double absent_grants_;
  std::vector<double> target_;
  std::vector<double> base_;
};

}  // namespace

std::vector<double> LimitGrants(const ReceiverDemand& demand, const std::vector<int>& members,
                                const std::vector<GrantHolders>& holders, const GrantBounds& bounds) {
  return ReceiverGrants(demand, members, holders, bounds).Limited();
}

}  // namespace badgerbridge::zone_failover
