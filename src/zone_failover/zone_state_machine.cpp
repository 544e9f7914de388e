// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/zone_state_machine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace badgerbridge::zone_failover {
namespace {

constexpr double kNormalLatencyRatio = 1.7;
// A zone that is slow below this share of its capacity is faulty rather than overloaded.
constexpr double kSlowZoneCapacityShare = 0.75;
// The limit of a degraded zone falls above the first share of the latency objective and may rise below the
// second.
constexpr double kHighLatencyObjectiveShare = 0.6;
constexpr double kLowLatencyObjectiveShare = 0.45;
// A degraded zone must use this share of its limit before the limit rises.
constexpr double kMinLimitUse = 0.6;
constexpr double kDegradedDecreaseFactor = 0.8;
constexpr double kDegradedIncreaseFactor = 1.2;
constexpr double kRecoveryIncreaseFactor = 1.5;
constexpr double kFirstRecoveryCapacityShare = 0.08;
constexpr Duration kMinNormalLatencyTime{1000};
constexpr double kFailedRecoveryHalfLifeMs = 30000;
constexpr double kMinBackendsForEstimate = 0.5;  // weight of warm backends
constexpr double kInitialCapacityShare = 0.2;  // share of the median capacity per backend of the known zones
constexpr double kInitialDemandShare = 0.1;    // share of the total demand, if no zone has a known capacity

// True if at least two origins report it, or the only origin that sends to the zone.
bool IsConfirmed(int origins, const ZoneObservation& observation) {
  return origins >= 2 || (origins == 1 && observation.origins == 1);
}

std::string ReasonByReporters(const char* what, const ZoneObservation& observation) {
  return std::string(what) + " by the word of members in " +
         (observation.reporters.empty() ? "none" : observation.reporters);
}

}  // namespace

void ZoneStateMachine::Restore(TimePoint now, const Decision::Zone& decided) {
  state_ = decided.state;
  capacity_.Restore(decided.observed_capacity);
  limit_ = decided.limit;
  reason_ = decided.reason;
  last_step_ = now;
}

void ZoneStateMachine::GrantInitialCapacity(double capacity_per_backend) {
  if (state_ != ZoneState::kHealthy || !capacity_.RaiseTo(capacity_per_backend)) return;
  limit_ = std::max(limit_, capacity_.observed());
}

double ZoneStateMachine::EffectiveLimit() const {
  return std::min(limit_, std::max(kGrowthHeadroom * capacity_.Available(), 0.0));
}

ZoneStateMachine::Condition ZoneStateMachine::ConditionOf(const ZoneObservation& observation) const {
  const double capacity = capacity_.observed();
  Condition condition;
  // A zone that serves its own members is not faulty but partitioned from other zones. Open circuits keep the
  // requests of those zones away from it.
  condition.fails = IsConfirmed(observation.failing_origins, observation) && !observation.serves_own_members;
  condition.slow_or_overloaded =
      IsConfirmed(observation.slow_origins, observation) && !observation.serves_own_members;
  condition.is_slow = condition.slow_or_overloaded &&
                      (capacity <= 0 || observation.served < kSlowZoneCapacityShare * capacity);
  condition.has_normal_latency =
      observation.origins > 0 && observation.failing_origins == 0 &&
      observation.latency_ratio < kNormalLatencyRatio * observation.slow_start_factor;
  return condition;
}

void ZoneStateMachine::UpdateNormalLatencySince(TimePoint now, bool has_normal_latency) {
  if (has_normal_latency && !had_normal_latency_) normal_latency_since_ = now;
  had_normal_latency_ = has_normal_latency;
}

void ZoneStateMachine::Enter(TimePoint now, ZoneState state, double limit, std::string reason) {
  if (state_ == ZoneState::kRecovering && state != ZoneState::kRecovering) ++failed_recoveries_;
  state_ = state;
  limit_ = limit;
  last_step_ = now;
  reason_ = std::move(reason);
}

void ZoneStateMachine::EnterUnavailable(TimePoint now, std::string reason) {
  Enter(now, ZoneState::kUnavailable, TrialLimit(), std::move(reason));
}

void ZoneStateMachine::EnterDegraded(TimePoint now, double limit, std::string reason) {
  Enter(now, ZoneState::kDegraded, std::max(TrialLimit(), limit), std::move(reason));
}

void ZoneStateMachine::EnterRecovering(TimePoint now, double limit, std::string reason) {
  Enter(now, ZoneState::kRecovering, limit, std::move(reason));
}

double ZoneStateMachine::FirstRecoveryLimit() const {
  return kFirstRecoveryCapacityShare * capacity_.observed();
}

void ZoneStateMachine::UpdateCapacity(const ZoneUpdate& update, const ZoneObservation& observation) {
  limit_ = capacity_.Update(update.elapsed_ms, observation, update.members_lost);
}

void ZoneStateMachine::Update(const ZoneUpdate& update, const ZoneObservation& observation,
                              const std::string& evacuated_by) {
  failed_recoveries_ *= std::exp2(-update.elapsed_ms / kFailedRecoveryHalfLifeMs);
  const Condition condition = ConditionOf(observation);
  UpdateNormalLatencySince(update.now, condition.has_normal_latency);
  capacity_.UpdateWarmBackends(update.elapsed_ms, observation.warm_backends);
  if (state_ != ZoneState::kEvacuated && capacity_.BackendsHaveLeft()) {
    // Observations of the departed backends say nothing about new ones.
    state_ = ZoneState::kHealthy;
    reason_ = "its converters have left the list";
    had_normal_latency_ = false;
    return UpdateCapacity(update, observation);
  }
  if (!evacuated_by.empty()) {
    if (state_ != ZoneState::kEvacuated)
      Enter(update.now, ZoneState::kEvacuated, 0, "ordered by " + evacuated_by);
    return;
  }
  switch (state_) {
    case ZoneState::kHealthy:
      return UpdateHealthy(update, observation, condition);
    case ZoneState::kDegraded:
      return UpdateDegraded(update, observation, condition);
    case ZoneState::kUnavailable:
      return UpdateUnavailable(update.now, observation, condition);
    case ZoneState::kRecovering:
      return UpdateRecovering(update, observation, condition);
    case ZoneState::kEvacuated:
      return EnterRecovering(update.now, FirstRecoveryLimit(), "the order has ended");
  }
}

void ZoneStateMachine::UpdateHealthy(const ZoneUpdate& update, const ZoneObservation& observation,
                                     const Condition& condition) {
  if (condition.fails) return EnterUnavailable(update.now, ReasonByReporters("it fails", observation));
  if (condition.is_slow) {
    const double limit = std::min(limit_, kDegradedDecreaseFactor * observation.served);
    return EnterDegraded(update.now, limit, ReasonByReporters("it is slow", observation));
  }
  UpdateCapacity(update, observation);
}

void ZoneStateMachine::UpdateDegraded(const ZoneUpdate& update, const ZoneObservation& observation,
                                      const Condition& condition) {
  // Attempts that were in flight when the zone slowed down fail for a while. A zone that still serves
  // requests is available.
  if (condition.fails && observation.served < TrialLimit())
    return EnterUnavailable(update.now, ReasonByReporters("it fails", observation));
  const double recovery_limit = std::max(limit_, FirstRecoveryLimit());
  if (had_normal_latency_ && update.now - normal_latency_since_ >= kMinNormalLatencyTime)
    return EnterRecovering(update.now, recovery_limit, "it is as quick as before");
  // The limit is so low that no origin can judge the latency, so the zone is tried again with a recovery.
  if (observation.origins == 0 && update.now - last_step_ >= StepLength(kMinNormalLatencyTime))
    return EnterRecovering(update.now, recovery_limit, "nobody sends enough to say that it is slow");
  AdjustDegradedLimit(update.now, observation);
}

void ZoneStateMachine::AdjustDegradedLimit(TimePoint now, const ZoneObservation& observation) {
  if (now - last_step_ < settings_->recovery_step) return;
  if (observation.attempts < kMinAttempts || observation.origins == 0) return;
  last_step_ = now;
  const double objective_ms = settings_->latency_objective_ms;
  if (observation.utilization >= kMinUtilization) {  // then the ratio estimates the capacity
    limit_ = std::clamp(observation.served / observation.utilization, TrialLimit(), capacity_.observed());
  } else if (observation.latency_ms > kHighLatencyObjectiveShare * objective_ms) {
    limit_ = std::max(TrialLimit(), kDegradedDecreaseFactor * std::min(limit_, observation.served));
  } else if (observation.latency_ms < kLowLatencyObjectiveShare * objective_ms &&
             observation.served > kMinLimitUse * limit_) {
    limit_ = std::min(capacity_.observed(), kDegradedIncreaseFactor * limit_);
  }
}

void ZoneStateMachine::UpdateUnavailable(TimePoint now, const ZoneObservation& observation,
                                         const Condition& condition) {
  if (observation.origins > 0 && !condition.fails && observation.failing_origins == 0)
    EnterRecovering(now, FirstRecoveryLimit(), "it answers again");
}

void ZoneStateMachine::UpdateRecovering(const ZoneUpdate& update, const ZoneObservation& observation,
                                        const Condition& condition) {
  if (condition.fails)
    return EnterUnavailable(update.now, ReasonByReporters("it failed as it returned,", observation));
  if (condition.slow_or_overloaded) {
    const double limit = kDegradedDecreaseFactor * std::min(limit_, observation.served);
    return EnterDegraded(update.now, limit, ReasonByReporters("it was slow as it returned,", observation));
  }
  // While the limit is so low that no origin can judge the zone, the limit rises by time alone.
  if (observation.origins > 0 && !condition.has_normal_latency) return;
  if (update.now - last_step_ < StepLength(settings_->recovery_step)) return;
  last_step_ = update.now;
  limit_ *= kRecoveryIncreaseFactor;
  if (limit_ < capacity_.observed()) return;
  state_ = ZoneState::kHealthy;
  reason_ = "it has earned back what it carried";
  UpdateCapacity(update, observation);
}

void ZoneStates::Reset() { zones_.assign(settings_.zones, ZoneStateMachine(settings_)); }

void ZoneStates::Restore(TimePoint now, const Decision& decision) {
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) zones_[zone].Restore(now, decision.zones[zone]);
}

std::vector<double> ZoneStates::MaxWarmBackends() const {
  std::vector<double> max_warm_backends;
  for (const ZoneStateMachine& zone : zones_)
    max_warm_backends.push_back(zone.capacity().max_warm_backends());
  return max_warm_backends;
}

void ZoneStates::Update(const ZoneUpdate& update, const std::vector<ZoneObservation>& observations,
                        const Snapshot& snapshot) {
  const std::string no_order;
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    const bool may_be_ordered = zone < snapshot.evacuated_by.size();
    zones_[zone].Update(update, observations[zone], may_be_ordered ? snapshot.evacuated_by[zone] : no_order);
  }
  const double capacity_per_backend = InitialCapacityPerBackend(snapshot);
  for (ZoneStateMachine& zone : zones_) zone.GrantInitialCapacity(capacity_per_backend);
}

// Returns a share of the median capacity per backend of the known zones, or a share of the total demand if
// none is known. Further growth of a zone's limit depends on the work that the zone serves.
double ZoneStates::InitialCapacityPerBackend(const Snapshot& snapshot) const {
  std::vector<double> known;
  double warm_backends = 0;
  for (const ZoneStateMachine& zone : zones_) {
    const CapacityEstimator& capacity = zone.capacity();
    if (capacity.observed() > 0 && capacity.observed_backends() >= kMinBackendsForEstimate)
      known.push_back(capacity.observed() / capacity.observed_backends());
    warm_backends += capacity.warm_backends();
  }
  std::sort(known.begin(), known.end());
  if (!known.empty()) return kInitialCapacityShare * known[known.size() / 2];
  double demand = 0;
  for (const MemberReport& report : snapshot.reports) demand += report.load.demand;
  return warm_backends > 0 ? kInitialDemandShare * demand / warm_backends : 0;
}

}  // namespace badgerbridge::zone_failover
