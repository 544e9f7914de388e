// SPDX-License-Identifier: Apache-2.0
#include "membership/ledger.h"

#include <iterator>
#include <unordered_map>
#include <utility>

namespace badgerbridge::membership {
namespace {

bool IsReady(const ViewEntry& entry) { return entry.member->state == MemberState::kReady; }

// Order from best to worst: ready, draining, gone.
bool IsWorse(MemberState state, MemberState than) {
  if (state == MemberState::kGone) return than != MemberState::kGone;
  return than == MemberState::kReady;
}

// Appends later changes. The later change of a member that is in both replaces the earlier one in place.
void MergeChanges(std::vector<Member>* changes, std::vector<Member> later) {
  std::unordered_map<std::string_view, std::size_t> positions;
  for (std::size_t i = 0; i < changes->size(); ++i) positions.emplace((*changes)[i].name, i);
  std::vector<Member> added;
  for (Member& member : later) {
    const auto found = positions.find(member.name);
    if (found == positions.end()) {
      added.push_back(std::move(member));
      continue;
    }
    const std::size_t position = found->second;
    positions.erase(found);  // its key points into the member that is overwritten next
    (*changes)[position] = std::move(member);
  }
  std::move(added.begin(), added.end(), std::back_inserter(*changes));
}

}  // namespace

Ledger::Ledger(LedgerSettings settings) : guard_(settings.mass_departure) {
  for (SourceSettings& source : settings.sources) {
    if (source.authority) authority_ = lists_.size();
    lists_.emplace_back(std::move(source), settings.limits);
  }
}

Result<std::vector<Member>> Ledger::ApplyReport(Time now, const Report& report) {
  SourceList& list = lists_[report.source];
  const Result<SourceList::Names> changed = list.Apply(now, report);
  if (!changed) return changed.error();
  const bool staleness_may_change_view = UpdateStaleness(now);
  if (report.source == authority_) GuardMassDeparture(now, *changed);
  std::vector<Member> changes = Reevaluate(now, *changed);
  if (staleness_may_change_view) MergeChanges(&changes, ReevaluateAllNotReady(now));
  list.DropTombstones(now, report.source == authority_ ? nullptr : &authority());
  return changes;
}

// Retains the ready members that the authority no longer lists if their departure exceeds the thresholds of a
// mass departure. Stops retaining members that the authority lists again.
void Ledger::GuardMassDeparture(Time now, const SourceList::Names& changed) {
  guard_.DropOldDepartures(now);
  std::vector<MemberPtr> leaving;
  for (const std::string& name : changed) {
    if (authority().HasListed(name)) {
      guard_.Release(name);
      continue;
    }
    const auto old_entry = view_.find(name);
    const bool was_ready = old_entry != view_.end() && IsReady(old_entry->second);
    if (was_ready && !guard_.FindRetained(name)) leaving.push_back(old_entry->second.member);
  }
  guard_.RecordDepartures(now, leaving, ready_count_);
}

// The entry according to the authority alone, retained members included.
ViewEntry Ledger::EvaluateByAuthority(const std::string& name) const {
  ViewEntry entry;
  entry.source = authority_;
  entry.version = authority().version_in_progress();
  if (MemberPtr listed = authority().FindListed(name)) {
    entry.member = std::move(listed);
  } else if (MemberPtr retained = guard_.FindRetained(name)) {
    entry.member = std::move(retained);
    entry.retained = true;
  } else {
    Member gone;
    gone.name = name;
    gone.state = MemberState::kGone;
    entry.member = std::make_shared<const Member>(std::move(gone));
  }
  return entry;
}

// Returns an entry of state kGone if the member does not belong in the view.
ViewEntry Ledger::Evaluate(const std::string& name) const {
  ViewEntry entry = EvaluateByAuthority(name);
  if (entry.member->state == MemberState::kGone) return entry;
  const bool is_authority_current = authority().staleness() == Staleness::kCurrent;
  for (std::size_t source = 0; source < lists_.size(); ++source) {
    const SourceList& list = lists_[source];
    if (source == authority_ || (list.staleness() == Staleness::kStale && is_authority_current)) continue;
    const Member* reported = list.Find(name);
    const bool is_same_or_newer_incarnation =
        reported && !(reported->start_time_ms < entry.member->start_time_ms);
    if (!is_same_or_newer_incarnation || reported->state == MemberState::kReady) continue;
    if (!IsWorse(reported->state, entry.member->state)) continue;
    entry.member = WithState(*entry.member, reported->state);
    entry.version = list.version();
    entry.source = source;
  }
  return entry;
}

std::string Ledger::DescribeDecision(const ViewEntry& entry) const {
  const std::string& source = lists_[entry.source].settings().name;
  if (entry.retained && entry.source == authority_)
    return source + ": gone, with too many others at once; held";
  return source + ": " + std::string(Name(entry.member->state));
}

std::vector<Member> Ledger::Reevaluate(Time now, const SourceList::Names& names) {
  std::vector<Member> changes;
  for (const std::string& name : names) {
    if (std::optional<Member> change = ReevaluateMember(now, name)) changes.push_back(std::move(*change));
  }
  return changes;
}

// Returns the member if its entry in the view changed.
std::optional<Member> Ledger::ReevaluateMember(Time now, const std::string& name) {
  ViewEntry next = Evaluate(name);
  const auto old_entry = view_.find(name);
  const bool was_in_view = old_entry != view_.end();
  const bool is_gone = next.member->state == MemberState::kGone;
  if (is_gone && !was_in_view) return std::nullopt;
  if (is_gone) guard_.Release(name);
  if (was_in_view && *old_entry->second.member == *next.member) {
    next.changed_at = old_entry->second.changed_at;
    PutEntry(&view_, std::move(next));
    return std::nullopt;
  }
  if (was_in_view && IsReady(old_entry->second)) --ready_count_;
  if (IsReady(next)) ++ready_count_;
  const MemberPtr change = next.member;
  if (is_gone) {
    view_.erase(old_entry);
  } else {
    next.changed_at = now;
    PutEntry(&view_, std::move(next));
  }
  return *change;
}

// Staleness affects only members that a source other than the authority reports as draining or gone.
std::vector<Member> Ledger::ReevaluateAllNotReady(Time now) {
  SourceList::Names names;
  for (std::size_t source = 0; source < lists_.size(); ++source) {
    if (source == authority_) continue;
    lists_[source].ForEachNotReady([&names](std::string_view name) { names.emplace(name); });
  }
  return Reevaluate(now, names);
}

// Whether a change of staleness may change the view: the authority became current or ceased to be, or another
// source became stale or ceased to be.
bool Ledger::UpdateStaleness(Time now) {
  bool may_change_view = false;
  for (std::size_t source = 0; source < lists_.size(); ++source) {
    const Staleness before = lists_[source].UpdateStaleness(now);
    const Staleness after = lists_[source].staleness();
    const Staleness decisive = source == authority_ ? Staleness::kCurrent : Staleness::kStale;
    may_change_view |= (before == decisive) != (after == decisive);
  }
  return may_change_view;
}

void Ledger::RecordContact(Time now, std::size_t source) { lists_[source].RecordContact(now); }

std::vector<Member> Ledger::Tick(Time now) {
  if (!UpdateStaleness(now)) return {};
  return ReevaluateAllNotReady(now);
}

std::optional<Time> Ledger::NextWake(Time now) const {
  std::optional<Time> next;
  for (const SourceList& list : lists_) {
    const std::optional<Time> change = list.NextStalenessChange(now);
    if (change && (!next || *change < *next)) next = change;
  }
  return next;
}

std::vector<Member> Ledger::ReleaseRetained(Time now) { return Reevaluate(now, guard_.ReleaseAll()); }

void Ledger::RecordProblem(std::size_t source, const std::string& key, const std::string& reason) {
  lists_[source].RecordProblem(key, reason);
}

}  // namespace badgerbridge::membership
