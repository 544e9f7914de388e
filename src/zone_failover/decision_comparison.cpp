// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/decision_comparison.h"

#include <algorithm>
#include <cmath>

#include "zone_failover/zone_state_machine.h"

namespace badgerbridge::zone_failover {
namespace {

using balancer::Duration;

constexpr Duration kMinInterval{150};
constexpr Duration kMaxSmallChangeDelay{2000};
constexpr double kLargeChange = 0.1;        // relative, as computed by LargestChange
constexpr double kNegligibleChange = 0.02;  // relative, as computed by LargestChange
constexpr double kMinRemainingGrantShare = 0.5;
constexpr double kMinCapacity = 1e-9;

bool ChangesMembers(const Decision& previous, const Decision& next) {
  return previous.admitted_revision != next.admitted_revision ||
         previous.counted_revision != next.counted_revision || previous.readmitted != next.readmitted;
}

bool ChangesZones(const Decision& previous, const Decision& next) {
  for (std::size_t zone = 0; zone < next.zones.size(); ++zone) {
    const Decision::Zone& before = previous.zones[zone];
    const Decision::Zone& after = next.zones[zone];
    if (before.state != after.state || before.members != after.members) return true;
  }
  return false;
}

bool ChangesUnlimitedGrants(const Decision& previous, const Decision& next) {
  for (std::size_t origin = 0; origin < next.grants.zones(); ++origin) {
    for (std::size_t receiver = 0; receiver < next.grants.zones(); ++receiver) {
      const bool was_unlimited = previous.grants.at(origin, receiver) == kUnlimited;
      if (was_unlimited != (next.grants.at(origin, receiver) == kUnlimited)) return true;
    }
  }
  return false;
}

double LargestCapacity(const Decision& previous, const Decision& next) {
  double largest = kMinCapacity;
  for (std::size_t zone = 0; zone < next.zones.size(); ++zone)
    largest = std::max({largest, previous.zones[zone].observed_capacity, next.zones[zone].observed_capacity});
  return largest;
}

// Returns the largest change of a grant between two zones, relative to the mean of the largest capacity and
// the grant itself. The grant is part of the scale because a small grant matters to a zone that recovers from
// a low limit.
double LargestChange(const Decision& previous, const Decision& next) {
  const double largest = LargestCapacity(previous, next);
  double change = 0;
  for (std::size_t origin = 0; origin < next.grants.zones(); ++origin) {
    for (std::size_t receiver = 0; receiver < next.grants.zones(); ++receiver) {
      const double before = previous.grants.at(origin, receiver);
      const double after = next.grants.at(origin, receiver);
      const double scale = std::max({before, after, kTrialShare * largest});
      change = std::max(change, std::abs(before - after) / (0.5 * largest + 0.5 * scale));
    }
  }
  return change;
}

// Sums an origin's grants, without the unlimited one.
double TotalGranted(const Decision& decision, std::size_t origin) {
  double total = 0;
  for (std::size_t receiver = 0; receiver < decision.grants.zones(); ++receiver)
    total += std::max(0.0, decision.grants.at(origin, receiver));
  return total;
}

}  // namespace

bool ShouldWrite(const Decision& previous, const Decision& next, Duration since_last) {
  if (since_last < kMinInterval) return false;
  if (ChangesMembers(previous, next) || ChangesZones(previous, next)) return true;
  if (ChangesUnlimitedGrants(previous, next)) return true;
  const double change = LargestChange(previous, next);
  return change > kLargeChange || (change > kNegligibleChange && since_last > kMaxSmallChangeDelay);
}

bool ReducesGrants(const Decision& other, const Decision& next) {
  for (std::size_t origin = 0; origin < next.grants.zones(); ++origin) {
    if (TotalGranted(next, origin) < kMinRemainingGrantShare * TotalGranted(other, origin)) return true;
  }
  return false;
}

}  // namespace badgerbridge::zone_failover
