// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/failover_leader.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "zone_failover/decision_comparison.h"

namespace badgerbridge::zone_failover {
namespace {

// Returns an epoch above all that members have confirmed. The epoch in a record restored from a backup may be
// older than theirs.
std::uint64_t NextEpoch(const Snapshot& snapshot, const Decision& previous) {
  std::uint64_t newest = previous.epoch;
  for (const MemberReport& report : snapshot.reports) newest = std::max(newest, report.load.epoch);
  return newest + 1;
}

}  // namespace

FailoverLeader::FailoverLeader(FailoverSettings settings)
    : settings_(std::move(settings)),
      members_(settings_),
      history_(settings_.zones),
      observer_(settings_.zones),
      zones_(settings_),
      demand_(settings_.zones),
      allocator_(settings_) {}

void FailoverLeader::BeginTerm() {
  members_.Clear();
  history_.Clear();
  observer_.Reset();
  zones_.Reset();
  demand_.Reset();
  admission_.Reset();
  restored_ = false;
  written_at_ = TimePoint{};
  observed_at_ = TimePoint{};
}

void FailoverLeader::RestoreFrom(TimePoint now, const Snapshot& snapshot) {
  restored_ = true;
  if (!snapshot.decision) return;  // there is no decision yet that a member could act on
  const Decision& decision = *snapshot.decision;
  history_.Restore(decision);
  admission_.Restore(decision);
  zones_.Restore(now, decision);
  demand_.Restore(decision);
  members_.RestoreLostMembers(now, snapshot, history_);
}

// Adds the decision in force and removes the epochs that no member may act on. Returns the oldest epoch that
// a member may act on.
std::uint64_t FailoverLeader::UpdateHistory(TimePoint now, const Snapshot& snapshot) {
  if (!snapshot.decision) return 0;
  history_.Add(*snapshot.decision);
  std::uint64_t oldest = snapshot.decision->epoch;
  for (const GrantHolders& holders : members_.HoldersUnder(now, snapshot, *snapshot.decision))
    oldest = std::min(oldest, holders.oldest_epoch);
  history_.DropBefore(oldest);
  return oldest;
}

// Returns the decision that the next one replaces, or an empty decision before the first.
Decision FailoverLeader::PreviousDecision(const Snapshot& snapshot) const {
  if (snapshot.decision) return *snapshot.decision;
  Decision empty;
  empty.zones.resize(settings_.zones);
  empty.grants = Matrix(settings_.zones);
  empty.grant_ceiling = Matrix(settings_.zones);
  empty.standby = Matrix(settings_.zones);
  return empty;
}

void FailoverLeader::FillZones(TimePoint now, const Snapshot& snapshot,
                               const std::vector<ZoneObservation>& observations,
                               const std::vector<double>& demand, Decision* next) const {
  const std::vector<MemberCounts> counts = members_.CountByZone(now, snapshot);
  for (std::size_t zone = 0; zone < settings_.zones; ++zone) {
    Decision::Zone& decided = next->zones[zone];
    decided.state = zones_[zone].state();
    decided.observed_capacity = zones_[zone].capacity().observed();
    decided.limit = zones_[zone].limit();
    decided.served = observations[zone].served;
    decided.demand = demand[zone];
    decided.members = counts[zone].members;
    decided.lost_members = counts[zone].lost_members;
    decided.reason = zones_[zone].reason();
  }
}

// Admitting a member to a share that other members still use would briefly cut the grants of its whole zone.
// A decision without the new member first lets the others reduce their load. The delay is bounded
// (Admission::ShouldDelay).
void FailoverLeader::Allocate(TimePoint now, const Snapshot& snapshot, const Decision& previous,
                              const AllocationInput& input, Decision* next) {
  allocator_.Allocate(input, members_.HoldersUnder(now, snapshot, *next), next);
  if (!Admission::AdmitsMore(previous, *next)) return;
  Decision without_new_members = Admission::WithoutNewMembers(previous, *next);
  allocator_.Allocate(input, members_.HoldersUnder(now, snapshot, without_new_members), &without_new_members);
  if (admission_.ShouldDelay(now, ReducesGrants(without_new_members, *next)))
    *next = std::move(without_new_members);
}

std::optional<Decision> FailoverLeader::NextDecision(TimePoint now, const Snapshot& snapshot,
                                                     const std::string& self) {
  if (!restored_) RestoreFrom(now, snapshot);
  members_.Update(now, snapshot, history_);
  const std::uint64_t oldest_epoch = UpdateHistory(now, snapshot);
  const double elapsed_ms = observed_at_ == TimePoint{} ? 0 : (now - observed_at_).count();
  observed_at_ = now;
  const std::vector<ZoneObservation> observations =
      observer_.Observe(now, snapshot, zones_.MaxWarmBackends());
  zones_.Update({now, elapsed_ms, !members_.lost_members().empty()}, observations, snapshot);

  const Decision previous = PreviousDecision(snapshot);
  Decision next = previous;
  next.leader = self;
  next.epoch = NextEpoch(snapshot, previous);
  admission_.Update(now, snapshot, oldest_epoch, members_, previous, &next);
  next.roster = members_.Roster(now, snapshot);
  ZoneDemand demand;
  demand.current = demand_.Update(elapsed_ms, snapshot, members_.lost_members());
  demand.peak = demand_.peak();
  demand.total = std::accumulate(demand.current.begin(), demand.current.end(), 0.0);
  FillZones(now, snapshot, observations, demand.current, &next);
  Allocate(now, snapshot, previous, {demand, zones_, observer_, members_.lost_members(), history_}, &next);
  if (snapshot.decision && !ShouldWrite(previous, next, now - written_at_)) return std::nullopt;
  next.grant_ceiling = history_.CeilingWith(next);
  admission_.DecisionMade(snapshot, previous, next);
  written_at_ = now;
  return next;
}

}  // namespace badgerbridge::zone_failover
