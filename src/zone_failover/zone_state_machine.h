// SPDX-License-Identifier: Apache-2.0
/// @file
/// The state of each zone and its limit, as the leader judges them from what all members see. Pure.
///
///   kHealthy ──fails──► kUnavailable ──answers again──► kRecovering ──back at its capacity──► kHealthy
///   kHealthy ──slow───► kDegraded ──quick, or hardly used──► kRecovering
///   kRecovering ──fails──► kUnavailable      kRecovering ──slow──► kDegraded      kDegraded ──fails──►
///   kUnavailable any ──ordered──► kEvacuated ──order ended──► kRecovering any but kEvacuated ──its backends
///   have left──► kHealthy
#ifndef BADGERBRIDGE_ZONE_FAILOVER_ZONE_STATE_MACHINE_H_
#define BADGERBRIDGE_ZONE_FAILOVER_ZONE_STATE_MACHINE_H_

#include <string>
#include <vector>

#include "zone_failover/capacity_estimator.h"
#include "zone_failover/decision.h"
#include "zone_failover/zone_observer.h"

namespace badgerbridge::zone_failover {

/// Share of its observed capacity that a failing zone is given as trial requests.
constexpr double kTrialShare = 0.02;

/// What a zone's state is updated from, beside what is seen of the zone.
struct ZoneUpdate {
  TimePoint now{};            ///< the leader's clock
  double elapsed_ms = 0;      ///< since the last update; 0 at the first
  bool members_lost = false;  ///< some members are out of contact, and send what is in no report
};

/// One zone's state and limit.
class ZoneStateMachine {
 public:
  /// `settings` must outlive this.
  explicit ZoneStateMachine(const FailoverSettings& settings) : settings_(&settings) {}

  /// Goes on from what an earlier leader has decided.
  void Restore(TimePoint now, const Decision::Zone& line);
  /// Takes in an observation; `evacuated_by` is empty where there is no order.
  void Update(const ZoneUpdate& update, const ZoneObservation& observation, const std::string& evacuated_by);
  /// For a healthy zone that is not known well: at least this capacity for each warm backend.
  void GrantInitialCapacity(double capacity_per_backend);

  /// The state.
  ZoneState state() const { return state_; }
  /// Work a ms that all members in total may send there, by the state alone.
  double limit() const { return limit_; }
  /// Why it is in this state, for people.
  const std::string& reason() const { return reason_; }
  /// What it has shown that it can serve.
  const CapacityEstimator& capacity() const { return capacity_; }
  /// Work a ms that it may be sent now: its limit, bounded by the capacity of the backends that are there.
  double EffectiveLimit() const;

 private:
  struct Signs {
    bool fails = false;
    bool is_slow = false;  // and not for being crowded
    bool slow_or_crowded = false;
    bool is_quick = false;
  };

  Signs SignsOf(const ZoneObservation& observation) const;
  void UpdateQuickSince(TimePoint now, bool is_quick);
  void UpdateHealthy(const ZoneUpdate& update, const ZoneObservation& observation, const Signs& signs);
  void UpdateDegraded(const ZoneUpdate& update, const ZoneObservation& observation, const Signs& signs);
  void AdjustDegradedLimit(TimePoint now, const ZoneObservation& observation);
  void UpdateUnavailable(TimePoint now, const ZoneObservation& observation, const Signs& signs);
  void UpdateRecovering(const ZoneUpdate& update, const ZoneObservation& observation, const Signs& signs);
  void EnterUnavailable(TimePoint now, std::string reason);
  void EnterDegraded(TimePoint now, double limit, std::string reason);
  void EnterRecovering(TimePoint now, double limit, std::string reason);
  void Enter(TimePoint now, ZoneState state, double limit, std::string reason);
  void Learn(const ZoneUpdate& update, const ZoneObservation& observation);
  double TrialLimit() const { return kTrialShare * capacity_.observed(); }
  double FirstRecoveryLimit() const;
  Duration StepLength(Duration step) const { return step * (1 + 2 * relapses_); }

  const FailoverSettings* settings_;
  ZoneState state_ = ZoneState::kHealthy;
  double limit_ = 0;
  std::string reason_;
  CapacityEstimator capacity_;
  double relapses_ = 0;    // failed recoveries, halved by kRelapseHalfLifeMs
  TimePoint last_step_{};  // when the state or the limit was last changed
  bool was_quick_ = false;
  TimePoint quick_since_{};
};

/// The state machines of all zones.
class ZoneStates {
 public:
  /// `settings` must outlive this.
  explicit ZoneStates(const FailoverSettings& settings) : settings_(settings) { Reset(); }

  /// All zones as new.
  void Reset();
  /// Goes on from what an earlier leader has decided.
  void Restore(TimePoint now, const Decision& decision);
  /// Updates each zone by its observation, then gives those that are not known well an initial capacity.
  void Update(const ZoneUpdate& update, const std::vector<ZoneObservation>& observations,
              const Snapshot& snapshot);

  /// One zone's state machine.
  const ZoneStateMachine& operator[](std::size_t zone) const { return zones_[zone]; }
  /// By zone: CapacityEstimator::max_warm_backends.
  std::vector<double> MaxWarmBackends() const;

 private:
  double InitialCapacityPerBackend(const Snapshot& snapshot) const;

  const FailoverSettings& settings_;
  std::vector<ZoneStateMachine> zones_;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_ZONE_STATE_MACHINE_H_
