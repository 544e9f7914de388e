// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/zone_state_machine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace badgerbridge::zone_failover {
namespace {

constexpr double kMaxQuickRatio = 1.7;   // of members' baselines: below, a zone is quick
constexpr double kMaxSlowLoad = 0.75;    // of its capacity: slow at less is a fault, and not a crowd
constexpr double kCrowdedLatency = 0.6;  // of the latency objective: above, a degraded zone is given less
constexpr double kQuickLatency = 0.45;   // of the latency objective: below, a degraded zone may be given more
constexpr double kMinLimitUse = 0.6;     // of its limit that a degraded zone must use to be given more
constexpr double kDegradedDecrease = 0.8;
constexpr double kDegradedIncrease = 1.2;
constexpr double kRecoveryIncrease = 1.5;
constexpr double kFirstRecoveryShare = 0.08;  // of its capacity
constexpr Duration kMinQuick{1000};           // for a degraded zone to count as well again
constexpr double kRelapseHalfLifeMs = 30000;
constexpr double kMinKnownBackends = 0.5;      // weight of warm backends that tells what one can do
constexpr double kInitialCapacityShare = 0.2;  // of what another zone's backends have shown, each
constexpr double kInitialDemandShare = 0.1;    // of all demand, where no zone has shown anything

// By two origins, or by the only one that sends there.
bool IsSeenBySeveral(int origins, const ZoneObservation& observation) {
  return origins >= 2 || (origins == 1 && observation.origins == 1);
}

std::string ReasonByReporters(const char* what, const ZoneObservation& observation) {
  return std::string(what) + " by the word of members in " +
         (observation.reporters.empty() ? "none" : observation.reporters);
}

}  // namespace

void ZoneStateMachine::Restore(TimePoint now, const Decision::Zone& line) {
  state_ = line.state;
  capacity_.Restore(line.observed_capacity);
  limit_ = line.limit;
  reason_ = line.reason;
  last_step_ = now;
}

void ZoneStateMachine::GrantInitialCapacity(double capacity_per_backend) {
  if (state_ != ZoneState::kHealthy || !capacity_.RaiseTo(capacity_per_backend)) return;
  limit_ = std::max(limit_, capacity_.observed());
}

double ZoneStateMachine::EffectiveLimit() const {
  return std::min(limit_, std::max(kGrowthHeadroom * capacity_.Available(), 0.0));
}

ZoneStateMachine::Signs ZoneStateMachine::SignsOf(const ZoneObservation& observation) const {
  const double capacity = capacity_.observed();
  Signs signs;
  // A zone that serves its own members is cut off and not at fault: circuits shut it to those that it fails.
  signs.fails = IsSeenBySeveral(observation.failing_origins, observation) && !observation.serves_own_members;
  signs.slow_or_crowded =
      IsSeenBySeveral(observation.slow_origins, observation) && !observation.serves_own_members;
  signs.is_slow = signs.slow_or_crowded && (capacity <= 0 || observation.served < kMaxSlowLoad * capacity);
  signs.is_quick = observation.origins > 0 && observation.failing_origins == 0 &&
                   observation.latency_ratio < kMaxQuickRatio * observation.slow_start_factor;
  return signs;
}

void ZoneStateMachine::UpdateQuickSince(TimePoint now, bool is_quick) {
  if (is_quick && !was_quick_) quick_since_ = now;
  was_quick_ = is_quick;
}

void ZoneStateMachine::Enter(TimePoint now, ZoneState state, double limit, std::string reason) {
  if (state_ == ZoneState::kRecovering && state != ZoneState::kRecovering) ++relapses_;
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

double ZoneStateMachine::FirstRecoveryLimit() const { return kFirstRecoveryShare * capacity_.observed(); }

void ZoneStateMachine::Learn(const ZoneUpdate& update, const ZoneObservation& observation) {
  limit_ = capacity_.Learn(update.elapsed_ms, observation, update.members_lost);
}

void ZoneStateMachine::Update(const ZoneUpdate& update, const ZoneObservation& observation,
                              const std::string& evacuated_by) {
  relapses_ *= std::exp2(-update.elapsed_ms / kRelapseHalfLifeMs);
  const Signs signs = SignsOf(observation);
  UpdateQuickSince(update.now, signs.is_quick);
  capacity_.UpdateWarmBackends(update.elapsed_ms, observation.warm_backends);
  if (state_ != ZoneState::kEvacuated && capacity_.BackendsHaveLeft()) {
    // What was said of them is gone with them: backends that come are new.
    state_ = ZoneState::kHealthy;
    reason_ = "its converters have left the list";
    was_quick_ = false;
    return Learn(update, observation);
  }
  if (!evacuated_by.empty()) {
    if (state_ != ZoneState::kEvacuated)
      Enter(update.now, ZoneState::kEvacuated, 0, "ordered by " + evacuated_by);
    return;
  }
  switch (state_) {
    case ZoneState::kHealthy:
      return UpdateHealthy(update, observation, signs);
    case ZoneState::kDegraded:
      return UpdateDegraded(update, observation, signs);
    case ZoneState::kUnavailable:
      return UpdateUnavailable(update.now, observation, signs);
    case ZoneState::kRecovering:
      return UpdateRecovering(update, observation, signs);
    case ZoneState::kEvacuated:
      return EnterRecovering(update.now, FirstRecoveryLimit(), "the order has ended");
  }
}

void ZoneStateMachine::UpdateHealthy(const ZoneUpdate& update, const ZoneObservation& observation,
                                     const Signs& signs) {
  if (signs.fails) return EnterUnavailable(update.now, ReasonByReporters("it fails", observation));
  if (signs.is_slow) {
    const double limit = std::min(limit_, kDegradedDecrease * observation.served);
    return EnterDegraded(update.now, limit, ReasonByReporters("it is slow", observation));
  }
  Learn(update, observation);
}

void ZoneStateMachine::UpdateDegraded(const ZoneUpdate& update, const ZoneObservation& observation,
                                      const Signs& signs) {
  // Attempts that were in flight when it slowed down fail for a while: a zone that answers is available.
  if (signs.fails && observation.served < TrialLimit())
    return EnterUnavailable(update.now, ReasonByReporters("it fails", observation));
  const double recovery_limit = std::max(limit_, FirstRecoveryLimit());
  if (was_quick_ && update.now - quick_since_ >= kMinQuick)
    return EnterRecovering(update.now, recovery_limit, "it is as quick as before");
  // So little is granted that no member can say how quick it is: it is tried again, as one that recovers.
  if (observation.origins == 0 && update.now - last_step_ >= StepLength(kMinQuick))
    return EnterRecovering(update.now, recovery_limit, "nobody sends enough to say that it is slow");
  AdjustDegradedLimit(update.now, observation);
}

void ZoneStateMachine::AdjustDegradedLimit(TimePoint now, const ZoneObservation& observation) {
  if (now - last_step_ < settings_->recovery_step) return;
  if (observation.attempts < kMinAttempts || observation.origins == 0) return;
  last_step_ = now;
  const double objective_ms = settings_->latency_objective_ms;
  if (observation.utilization >= kMinUtilization) {  // tells how much of what it serves now it could serve
    limit_ = std::clamp(observation.served / observation.utilization, TrialLimit(), capacity_.observed());
  } else if (observation.latency_ms > kCrowdedLatency * objective_ms) {
    limit_ = std::max(TrialLimit(), kDegradedDecrease * std::min(limit_, observation.served));
  } else if (observation.latency_ms < kQuickLatency * objective_ms &&
             observation.served > kMinLimitUse * limit_) {
    limit_ = std::min(capacity_.observed(), kDegradedIncrease * limit_);
  }
}

void ZoneStateMachine::UpdateUnavailable(TimePoint now, const ZoneObservation& observation,
                                         const Signs& signs) {
  if (observation.origins > 0 && !signs.fails && observation.failing_origins == 0)
    EnterRecovering(now, FirstRecoveryLimit(), "it answers again");
}

void ZoneStateMachine::UpdateRecovering(const ZoneUpdate& update, const ZoneObservation& observation,
                                        const Signs& signs) {
  if (signs.fails)
    return EnterUnavailable(update.now, ReasonByReporters("it failed as it returned,", observation));
  if (signs.slow_or_crowded) {
    const double limit = kDegradedDecrease * std::min(limit_, observation.served);
    return EnterDegraded(update.now, limit, ReasonByReporters("it was slow as it returned,", observation));
  }
  // Where so little is granted that no member can judge it, time alone counts.
  if (observation.origins > 0 && !signs.is_quick) return;
  if (update.now - last_step_ < StepLength(settings_->recovery_step)) return;
  last_step_ = update.now;
  limit_ *= kRecoveryIncrease;
  if (limit_ < capacity_.observed()) return;
  state_ = ZoneState::kHealthy;
  reason_ = "it has earned back what it carried";
  Learn(update, observation);
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

// A part of what backends elsewhere can do, or a part of all demand. From there on a zone's limit grows by
// what the zone shows.
double ZoneStates::InitialCapacityPerBackend(const Snapshot& snapshot) const {
  std::vector<double> known;
  double warm_backends = 0;
  for (const ZoneStateMachine& zone : zones_) {
    const CapacityEstimator& capacity = zone.capacity();
    if (capacity.observed() > 0 && capacity.observed_backends() >= kMinKnownBackends)
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
