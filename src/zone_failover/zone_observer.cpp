// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/zone_observer.h"

#include <algorithm>

namespace badgerbridge::zone_failover {
namespace {

constexpr double kFailingShare = 0.5;         // share of failed attempts above which a zone fails
constexpr double kHealthyFailureShare = 0.1;  // share of failed attempts below which a circuit closes
constexpr double kSlowLatencyRatio = 3;
constexpr double kMaxSlowStartFactor = 10;
constexpr int kMinReporters = 2;  // a single member may be faulty itself
constexpr Duration kMinCircuitOpen{5000};
constexpr Duration kMaxCircuitOpen{80000};

}  // namespace

ZoneObserver::Totals::Totals(std::size_t zones)
    : members(zones), pairs(zones, std::vector<PairTotals>(zones)), receivers(zones) {}

ZoneObserver::ZoneObserver(std::size_t zones) : zones_(zones) { Reset(); }

void ZoneObserver::Reset() { circuits_.assign(zones_, std::vector<Circuit>(zones_)); }

void ZoneObserver::AddZoneLoad(const ZoneLoad& load, PairTotals* pair, ReceiverTotals* receiver) {
  pair->attempts += load.attempts;
  pair->failures += load.failures;
  ++pair->reporters;
  const double answers = std::max(0.0, load.attempts - load.failures);
  if (answers > 0 && load.latency_ms > 0) {
    pair->latency_ratio += answers * load.latency_ratio;
    pair->answers += answers;
    receiver->latency_ratio += answers * load.latency_ratio;
    receiver->latency_ms += answers * load.latency_ms;
    receiver->answers += answers;
  }
  if (load.utilization >= 0) {
    receiver->utilization += load.attempts * load.utilization;
    receiver->attempts_with_utilization += load.attempts;
  }
}

ZoneObserver::Totals ZoneObserver::SumReports(const Snapshot& snapshot,
                                              std::vector<ZoneObservation>* observations) const {
  Totals totals(zones_);
  const double members = static_cast<double>(snapshot.reports.size());
  for (const MemberReport& report : snapshot.reports) {
    const std::size_t origin = report.zone();
    ++totals.members[origin];
    for (std::size_t receiver = 0; receiver < zones_; ++receiver) {
      const ZoneLoad& load = report.load.zones[receiver];
      (*observations)[receiver].served += load.served;
      (*observations)[receiver].warm_backends += load.warm_backends / members;
      if (report.load.suspects_itself || load.attempts <= 0) continue;
      AddZoneLoad(load, &totals.pairs[origin][receiver], &totals.receivers[receiver]);
    }
  }
  return totals;
}

void ZoneObserver::UpdateCircuit(TimePoint now, bool fails, const PairTotals& totals, Circuit* circuit) {
  if (fails && !circuit->open) {
    circuit->open_for = std::clamp(circuit->open_for * 2, kMinCircuitOpen, kMaxCircuitOpen);
    circuit->open_until = now + circuit->open_for;
    circuit->open = true;
  }
  if (totals.failures >= kHealthyFailureShare * totals.attempts) return;
  // After a healthy period as long as the circuit was open, the next failure opens it for the minimum time.
  const bool stayed_healthy = now >= circuit->open_until + circuit->open_for;
  if (stayed_healthy) circuit->open_for = Duration(0);
  circuit->open = false;
}

// Adds the reports of the members of `origin` about `receiver`.
void ZoneObserver::ObservePair(TimePoint now, std::size_t origin, std::size_t receiver, const Totals& totals,
                               ZoneObservation* observation) {
  const PairTotals& pair = totals.pairs[origin][receiver];
  Circuit& circuit = circuits_[origin][receiver];
  circuit.open = circuit.open && now < circuit.open_until;
  observation->attempts += pair.attempts;
  if (pair.attempts < kMinAttempts) return;
  if (pair.reporters < std::min(kMinReporters, totals.members[origin])) return;
  ++observation->origins;
  const bool fails = pair.failures > kFailingShare * pair.attempts;
  const bool is_slow = pair.answers > 0 &&
                       pair.latency_ratio > kSlowLatencyRatio * observation->slow_start_factor * pair.answers;
  if (origin == receiver) observation->serves_own_members = !fails && !is_slow;
  if (fails) ++observation->failing_origins;
  if (is_slow) ++observation->slow_origins;
  if (fails || is_slow)
    observation->reporters += (observation->reporters.empty() ? "" : ", ") + std::to_string(origin);
  UpdateCircuit(now, fails, pair, &circuit);
}

std::vector<ZoneObservation> ZoneObserver::Observe(TimePoint now, const Snapshot& snapshot,
                                                   const std::vector<double>& max_warm_backends) {
  std::vector<ZoneObservation> observations(zones_);
  const Totals totals = SumReports(snapshot, &observations);
  for (std::size_t receiver = 0; receiver < zones_; ++receiver) {
    ZoneObservation& zone = observations[receiver];
    const ReceiverTotals& sums = totals.receivers[receiver];
    if (sums.answers > 0) {
      zone.latency_ratio = sums.latency_ratio / sums.answers;
      zone.latency_ms = sums.latency_ms / sums.answers;
    }
    if (sums.attempts_with_utilization > 0)
      zone.utilization = sums.utilization / sums.attempts_with_utilization;
    // Backends in slow start are expected to be slower.
    if (zone.warm_backends > 0)
      zone.slow_start_factor =
          std::clamp(max_warm_backends[receiver] / zone.warm_backends, 1.0, kMaxSlowStartFactor);
    for (std::size_t origin = 0; origin < zones_; ++origin) ObservePair(now, origin, receiver, totals, &zone);
  }
  return observations;
}

}  // namespace badgerbridge::zone_failover
