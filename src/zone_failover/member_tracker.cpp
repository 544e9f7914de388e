// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/member_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace badgerbridge::zone_failover {
namespace {

void AddHolder(const GrantHolders& holder, std::vector<GrantHolders>* groups) {
  const auto same = std::find_if(groups->begin(), groups->end(), [&](const GrantHolders& group) {
    return group.zone == holder.zone && group.oldest_epoch == holder.oldest_epoch &&
           group.present == holder.present && group.confirmed == holder.confirmed;
  });
  if (same != groups->end()) {
    same->count += holder.count;
  } else {
    groups->push_back(holder);
  }
}

// Returns the names of the members whose present incarnation is counted by the decision.
std::set<std::string> CountedAndPresent(const Snapshot& snapshot) {
  std::set<std::string> names;
  for (const MemberReport& report : snapshot.reports) {
    if (report.create_revision <= snapshot.decision->counted_revision) names.insert(report.member);
  }
  return names;
}

// Returns how many members of the zone are counted by the decision but not present, for a decision without a
// roster.
int MissingMembers(const Snapshot& snapshot, std::size_t zone) {
  int missing = snapshot.decision->zones[zone].members;
  for (const MemberReport& report : snapshot.reports) {
    if (report.zone() == zone && report.create_revision <= snapshot.decision->counted_revision) --missing;
  }
  return missing;
}

}  // namespace

bool Admits(const Decision& decision, const MemberReport& report) {
  const auto& readmitted = decision.readmitted;
  return report.create_revision <= decision.admitted_revision ||
         std::find(readmitted.begin(), readmitted.end(), report.incarnation()) != readmitted.end();
}

void MemberTracker::Clear() {
  incarnations_.clear();
  lost_members_.clear();
}

void MemberTracker::RestoreLostMembers(TimePoint now, const Snapshot& snapshot, const EpochHistory& history) {
  const Decision& decision = *snapshot.decision;
  const std::set<std::string> present = CountedAndPresent(snapshot);
  const TimePoint grants_until = now + WithClockDrift(settings_, settings_.grant_hold);
  for (std::size_t zone = 0; zone < settings_.zones; ++zone) {
    const Decision::Zone& decided = decision.zones[zone];
    LostMember lost;
    lost.zone = zone;
    lost.demand = decided.demand / std::max(1, decided.members);
    lost.grants_until = now;
    lost.standby_until = now + WithClockDrift(settings_, settings_.standby_hold);
    lost.max_standby = history.MaxStandby(zone);
    for (int i = 0; i < decided.lost_members; ++i) lost_members_.push_back(lost);
    lost.grants_until = grants_until;
    for (const RosterEntry& entry : decision.roster) {
      if (static_cast<std::size_t>(entry.zone) != zone || present.count(entry.member) > 0) continue;
      lost_members_.push_back(lost);
      lost_members_.back().member = entry.member;
    }
    if (!decision.roster.empty()) continue;
    const int missing = MissingMembers(snapshot, zone);
    for (int i = 0; i < missing; ++i) lost_members_.push_back(lost);
  }
}

// Returns the members of the snapshot with their state carried over from the previous one.
MemberTracker::Incarnations MemberTracker::NextIncarnations(TimePoint now, const Snapshot& snapshot) const {
  // Names with a reserved share: the member vanished, or returned between two snapshots.
  std::set<std::string> counted;
  for (const auto& [incarnation, state] : incarnations_) counted.insert(incarnation.member);
  for (const LostMember& lost : lost_members_) {
    if (now < lost.grants_until) counted.insert(lost.member);
  }
  Incarnations next;
  for (const MemberReport& report : snapshot.reports) {
    const auto known = incarnations_.find(report.incarnation());
    const bool is_new = known == incarnations_.end();
    IncarnationState state;
    if (!is_new) state = known->second;
    state.zone = report.zone();
    state.epoch = report.load.epoch;
    state.demand = report.load.demand;
    if (is_new) state.inherits_share = counted.count(report.member) > 0;
    if (state.admitted_epoch == 0 && snapshot.decision && Admits(*snapshot.decision, report))
      state.admitted_epoch = is_new ? 1 : snapshot.decision->epoch;
    next[report.incarnation()] = state;
  }
  return next;
}

void MemberTracker::Update(TimePoint now, const Snapshot& snapshot, const EpochHistory& history) {
  Incarnations next = NextIncarnations(now, snapshot);
  for (const auto& [incarnation, state] : incarnations_) {
    if (next.count(incarnation) > 0) continue;
    lost_members_.push_back({incarnation.member, state.zone, state.epoch, state.demand,
                             now + WithClockDrift(settings_, settings_.grant_hold),
                             now + WithClockDrift(settings_, settings_.standby_hold),
                             history.MaxStandby(state.zone)});
  }
  incarnations_ = std::move(next);
  // A member that has returned follows the decisions again, so it is no longer lost.
  std::set<std::string> present;
  for (const auto& [incarnation, state] : incarnations_) present.insert(incarnation.member);
  std::erase_if(lost_members_, [&](const LostMember& lost) {
    return now >= lost.standby_until || (!lost.member.empty() && present.count(lost.member) > 0);
  });
}

MemberTracker::IncarnationState MemberTracker::StateOf(const MemberReport& report) const {
  const auto found = incarnations_.find(report.incarnation());
  return found == incarnations_.end() ? IncarnationState{} : found->second;
}

bool MemberTracker::InheritsShare(const MemberReport& report) const {
  return incarnations_.at(report.incarnation()).inherits_share;
}

// A member that returns in the same process may still use its earlier grants. It then reports an epoch other
// than 0.
bool MemberTracker::MayActOnEarlierGrants(const IncarnationState& state, std::uint64_t epoch) {
  if (!state.inherits_share || epoch == 0) return false;
  return state.admitted_epoch == 0 || epoch < state.admitted_epoch;
}

std::uint64_t MemberTracker::OldestEpoch(const IncarnationState& state, std::uint64_t epoch) {
  if (MayActOnEarlierGrants(state, epoch)) return epoch;
  if (state.admitted_epoch == 0) return kNoEpoch;
  return std::max(state.admitted_epoch, epoch);  // the member had no share of grants before its admission
}

std::vector<GrantHolders> MemberTracker::HoldersUnder(TimePoint now, const Snapshot& snapshot,
                                                      const Decision& decision) const {
  std::vector<GrantHolders> groups;
  for (const MemberReport& report : snapshot.reports) {
    const IncarnationState state = StateOf(report);
    const std::uint64_t epoch = report.load.epoch;
    const bool may_act_on_earlier = MayActOnEarlierGrants(state, epoch);
    const bool counts_before_admission = may_act_on_earlier && state.admitted_epoch == 0;
    if (!Admits(decision, report) && !counts_before_admission) continue;
    AddHolder({report.zone(), OldestEpoch(state, epoch), true, !may_act_on_earlier, 1}, &groups);
  }
  for (const LostMember& lost : lost_members_) {
    if (now < lost.grants_until) AddHolder({lost.zone, lost.epoch, false, false, 1}, &groups);
  }
  return groups;
}

std::vector<MemberCounts> MemberTracker::CountByZone(TimePoint now, const Snapshot& snapshot) const {
  std::vector<MemberCounts> counts(settings_.zones);
  for (const MemberReport& report : snapshot.reports) ++counts[report.zone()].members;
  for (const LostMember& lost : lost_members_) {
    MemberCounts& zone = counts[lost.zone];
    if (now < lost.grants_until) {
      ++zone.members;
    } else {
      ++zone.lost_members;
    }
  }
  return counts;
}

std::vector<RosterEntry> MemberTracker::Roster(TimePoint now, const Snapshot& snapshot) const {
  std::vector<RosterEntry> roster;
  for (const MemberReport& report : snapshot.reports) roster.push_back({report.member, report.load.zone});
  for (const LostMember& lost : lost_members_) {
    if (now < lost.grants_until) roster.push_back({lost.member, static_cast<int>(lost.zone)});
  }
  return roster;
}

}  // namespace badgerbridge::zone_failover
