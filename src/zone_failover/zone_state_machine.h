// SPDX-License-Identifier: Apache-2.0
/// @file
/// The state and the limit of each zone, from the aggregated reports of all members. Pure.
///
/// @verbatim
///   kHealthy     ── fails ─────────────────────────────► kUnavailable
///   kHealthy     ── slow ──────────────────────────────► kDegraded
///   kDegraded    ── fails ─────────────────────────────► kUnavailable
///   kDegraded    ── normal latency or few attempts ────► kRecovering
///   kUnavailable ── answers again ─────────────────────► kRecovering
///   kRecovering  ── fails ─────────────────────────────► kUnavailable
///   kRecovering  ── slow ──────────────────────────────► kDegraded
///   kRecovering  ── limit reaches observed capacity ───► kHealthy
///   any          ── evacuation ordered ────────────────► kEvacuated
///   kEvacuated   ── order ended ───────────────────────► kRecovering
///   any other    ── nearly all backends have left ─────► kHealthy
/// @endverbatim
#ifndef BADGERBRIDGE_ZONE_FAILOVER_ZONE_STATE_MACHINE_H_
#define BADGERBRIDGE_ZONE_FAILOVER_ZONE_STATE_MACHINE_H_

#include <string>
#include <vector>

#include "zone_failover/capacity_estimator.h"
#include "zone_failover/decision.h"
#include "zone_failover/zone_observer.h"

namespace badgerbridge::zone_failover {

/// Share of the observed capacity of an unavailable zone that is granted for trial requests.
constexpr double kTrialShare = 0.02;

/// Input of a state update besides the observation of the zone.
struct ZoneUpdate {
  TimePoint now{};            ///< the leader's clock
  double elapsed_ms = 0;      ///< since the last update; 0 at the first update
  bool members_lost = false;  ///< some members are lost; no report contains the load that they send
};

/// The state machine of one zone.
class ZoneStateMachine {
 public:
  /// Creates a healthy zone of unknown capacity; `settings` must outlive this object.
  explicit ZoneStateMachine(const FailoverSettings& settings) : settings_(&settings) {}

  /// Starts from an earlier leader's decision about the zone.
  void Restore(TimePoint now, const Decision::Zone& decided);
  /// Updates the state from an observation; `evacuated_by` is empty if there is no order to evacuate the
  /// zone.
  void Update(const ZoneUpdate& update, const ZoneObservation& observation, const std::string& evacuated_by);
  /// Raises the capacity of a healthy zone to at least this much for each warm backend.
  void GrantInitialCapacity(double capacity_per_backend);

  /// The current state.
  ZoneState state() const { return state_; }
  /// Work per ms that all members together may send to the zone, by its state alone.
  double limit() const { return limit_; }
  /// Reason for the current state, for operators.
  const std::string& reason() const { return reason_; }
  /// The estimated capacity.
  const CapacityEstimator& capacity() const { return capacity_; }
  /// Work per ms that may be sent to the zone now: its limit, bounded by the capacity of its present
  /// backends.
  double EffectiveLimit() const;

 private:
  struct Condition {
    bool fails = false;
    bool is_slow = false;  // at a load that it should be able to serve
    bool slow_or_overloaded = false;
    bool has_normal_latency = false;
  };

  Condition ConditionOf(const ZoneObservation& observation) const;
  void UpdateNormalLatencySince(TimePoint now, bool has_normal_latency);
  void UpdateHealthy(const ZoneUpdate& update, const ZoneObservation& observation,
                     const Condition& condition);
  void UpdateDegraded(const ZoneUpdate& update, const ZoneObservation& observation,
                      const Condition& condition);
  void AdjustDegradedLimit(TimePoint now, const ZoneObservation& observation);
  void UpdateUnavailable(TimePoint now, const ZoneObservation& observation, const Condition& condition);
  void UpdateRecovering(const ZoneUpdate& update, const ZoneObservation& observation,
                        const Condition& condition);
  void EnterUnavailable(TimePoint now, std::string reason);
  void EnterDegraded(TimePoint now, double limit, std::string reason);
  void EnterRecovering(TimePoint now, double limit, std::string reason);
  void Enter(TimePoint now, ZoneState state, double limit, std::string reason);
  void UpdateCapacity(const ZoneUpdate& update, const ZoneObservation& observation);
  double TrialLimit() const { return kTrialShare * capacity_.observed(); }
  double FirstRecoveryLimit() const;
  Duration StepLength(Duration step) const { return step * (1 + 2 * failed_recoveries_); }

  const FailoverSettings* settings_;
  ZoneState state_ = ZoneState::kHealthy;
  double limit_ = 0;
  std::string reason_;
  CapacityEstimator capacity_;
  double failed_recoveries_ = 0;  // decays with kFailedRecoveryHalfLifeMs
  TimePoint last_step_{};         // last change of the state or the limit
  bool had_normal_latency_ = false;
  TimePoint normal_latency_since_{};
};

/// The state machines of all zones.
class ZoneStates {
 public:
  /// Creates the state machines in their initial state; `settings` must outlive this object.
  explicit ZoneStates(const FailoverSettings& settings) : settings_(settings) { Reset(); }

  /// Returns all zones to the initial state.
  void Reset();
  /// Starts from an earlier leader's decision.
  void Restore(TimePoint now, const Decision& decision);
  /// Updates each zone from its observation, then raises low capacities to an initial value.
  void Update(const ZoneUpdate& update, const std::vector<ZoneObservation>& observations,
              const Snapshot& snapshot);

  /// The state machine of a zone; `zone` must be a valid index.
  const ZoneStateMachine& operator[](std::size_t zone) const { return zones_[zone]; }
  /// CapacityEstimator::max_warm_backends by zone.
  std::vector<double> MaxWarmBackends() const;

 private:
  double InitialCapacityPerBackend(const Snapshot& snapshot) const;

  const FailoverSettings& settings_;
  std::vector<ZoneStateMachine> zones_;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_ZONE_STATE_MACHINE_H_
