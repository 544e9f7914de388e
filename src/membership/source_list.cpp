// SPDX-License-Identifier: Apache-2.0
#include "membership/source_list.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::membership {
namespace {

constexpr Time kTombstoneLifetime{600000};

bool IsListed(const Member& member) { return member.state != MemberState::kGone; }

}  // namespace

std::string_view Name(Staleness staleness) {
  constexpr std::string_view kNames[] = {"never heard", "current", "aging", "stale"};
  return kNames[static_cast<int>(staleness)];
}

SourceList::SourceList(SourceSettings settings, SourceLimits limits)
    : settings_(std::move(settings)), limits_(limits) {}

Result<SourceList::Names> SourceList::Apply(Time now, const Report& report) {
  if (const auto error = CheckOrder(report))
    return MembershipError{*error, settings_.name, std::to_string(report.version)};
  if (report.StartsList()) StartPagedList(report);
  if (report.complete) CollectUnlisted(report);
  Names changed;
  std::vector<Member> postponed;
  if (report.EndsList()) postponed = FinishPagedList(now, &changed);
  for (const Member& member : postponed) ApplyMember(now, member, &changed);
  for (const Member& member : report.members) ApplyMember(now, member, &changed);
  UpdateRejection();
  if (!paged_list_) RecordVersion(report);
  last_contact_ = now;
  return changed;
}

// Why a report is out of order; nullopt: it is in order.
std::optional<ErrorCode> SourceList::CheckOrder(const Report& report) const {
  if (report.complete && !report.StartsList()) {
    const bool continues =
        paged_list_ && report.epoch == paged_list_->epoch && report.version == paged_list_->version;
    return continues ? std::nullopt : std::make_optional(ErrorCode::kPageOutOfOrder);
  }
  // The list in progress is newer than these changes, or will be when it is complete.
  if (!report.complete && paged_list_) return ErrorCode::kPageOutOfOrder;
  const bool is_same_history = has_reported_ && report.epoch == epoch_;
  if (report.complete) {
    const bool is_older = is_same_history && !report.linearizable && report.version < version_;
    return is_older ? std::make_optional(ErrorCode::kStaleVersion) : std::nullopt;
  }
  if (!is_same_history) return ErrorCode::kUnknownHistory;
  const auto newest = service_versions_.find(report.service);
  const std::uint64_t known = newest != service_versions_.end() ? newest->second : complete_list_version_;
  return report.version > known ? std::nullopt : std::make_optional(ErrorCode::kStaleVersion);
}

void SourceList::StartPagedList(const Report& report) {
  paged_list_ = PagedList{};
  paged_list_->epoch = report.epoch;
  paged_list_->version = report.version;
  paged_list_->service = report.service;
  rejected_joins_ = 0;
  rejection_.clear();
}

// Collects the known members that a page omits. Compares the range of names from the end of the previous page
// to the last name of this one.
void SourceList::CollectUnlisted(const Report& report) {
  PagedList& list = *paged_list_;
  if (list.service != report.service) {
    list.service = report.service;
    list.compared_up_to.clear();
  }
  std::set<std::string_view> listed(report.unreadable.begin(), report.unreadable.end());
  for (const Member& member : report.members) {
    if (IsListed(member)) listed.insert(member.name);
  }
  auto at = list.compared_up_to.empty() ? members_.begin() : members_.upper_bound(list.compared_up_to);
  auto end = members_.end();
  if (!report.EndsList() && !report.ends_service) {
    if (listed.empty() || *listed.rbegin() <= list.compared_up_to) return;
    list.compared_up_to = std::string(*listed.rbegin());
    end = members_.upper_bound(list.compared_up_to);
  }
  for (; at != end; ++at) {
    const MemberPtr& member = at->second;
    const bool was_listed = member->service == report.service && IsListed(*member);
    if (was_listed && listed.count(member->name) == 0) list.unlisted.push_back(member);
  }
}

// Removes the members that are in none of the pages, and returns the postponed ones, which can be applied
// now.
std::vector<Member> SourceList::FinishPagedList(Time now, Names* changed) {
  for (const MemberPtr& member : paged_list_->unlisted) {
    const auto found = members_.find(member->name);
    if (found != members_.end()) AddTombstone(now, MemberPtr(found->second), changed);
  }
  std::vector<Member> postponed = std::move(paged_list_->postponed);
  paged_list_.reset();
  return postponed;
}

void SourceList::RecordVersion(const Report& report) {
  has_reported_ = true;
  epoch_ = report.epoch;
  if (report.complete) {
    service_versions_.clear();
    complete_list_version_ = report.version;
    version_ = report.version;
  } else {
    service_versions_[report.service] = report.version;
    version_ = std::max(version_, report.version);
  }
}

void SourceList::UpdateRejection() {
  if (rejected_joins_ == 0) return;
  rejection_ = std::to_string(rejected_joins_) + " members are refused: at most " +
               std::to_string(limits_.max_members) + " are taken; drains and departures still count";
}

void SourceList::ApplyMember(Time now, const Member& member, Names* changed) {
  if (ConflictsWithOtherService(member)) {
    if (IsListed(member) && paged_list_ && paged_list_->postponed.size() < limits_.max_members)
      paged_list_->postponed.push_back(member);
    return;
  }
  const auto found = members_.find(member.name);
  const bool is_known = found != members_.end();
  if (!IsListed(member)) {
    if (is_known) AddTombstone(now, MemberPtr(found->second), changed);
    return;
  }
  if (is_known && *found->second == member) return;
  if (AddOrReplace(member)) {
    changed->insert(member.name);
  } else {
    ++rejected_joins_;
  }
}

// Returns false if the member is rejected because the list is full.
bool SourceList::AddOrReplace(const Member& member) {
  const auto found = members_.find(member.name);
  const bool joins = found == members_.end() || !IsListed(*found->second);
  if (joins && listed_count_ >= limits_.max_members) return false;
  if (joins) ++listed_count_;
  PutEntry(&members_, std::make_shared<const Member>(member));
  return true;
}

void SourceList::AddTombstone(Time now, const MemberPtr& member, Names* changed) {
  if (!IsListed(*member)) return;
  --listed_count_;
  tombstones_.push_back({now, member->name});
  changed->insert(member->name);
  PutEntry(&members_, WithState(*member, MemberState::kGone));
}

// Whether a member of another service has the same name. That member stays, and the conflict is recorded as a
// problem.
bool SourceList::ConflictsWithOtherService(const Member& member) {
  if (member.service.empty()) return false;
  const std::string key = member.service + "/" + member.name;
  const auto found = members_.find(member.name);
  const bool conflicts =
      found != members_.end() && IsListed(*found->second) && found->second->service != member.service;
  if (!conflicts || !IsListed(member)) {
    problems_.erase(key);
  } else if (problems_.size() < kMaxProblems) {
    problems_[key] = "the service " + found->second->service + " has a member of this name, which stays";
  }
  return conflicts;
}

void SourceList::RecordContact(Time now) {
  if (has_reported_) last_contact_ = now;
}

void SourceList::RecordProblem(const std::string& key, const std::string& reason) {
  if (reason.empty()) {
    problems_.erase(key);
  } else if (problems_.size() < kMaxProblems || problems_.count(key) > 0) {
    problems_[key] = reason;
  }
}

void SourceList::DropTombstones(Time now, const SourceList* authority) {
  // Visits each tombstone at most once: those that are kept are moved to the end.
  for (std::size_t remaining = tombstones_.size(); remaining > 0; --remaining) {
    const bool is_expired = now - tombstones_.front().departed_at > kTombstoneLifetime;
    if (!is_expired && tombstones_.size() <= limits_.max_tombstones) return;
    const std::string name = std::move(tombstones_.front().name);
    tombstones_.pop_front();
    const auto found = members_.find(name);
    if (found == members_.end() || IsListed(*found->second)) continue;
    if (authority && authority->HasListed(name)) {
      tombstones_.push_back({now, name});
    } else {
      members_.erase(found);
    }
  }
}

const Member* SourceList::Find(std::string_view name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : found->second.get();
}

bool SourceList::HasListed(std::string_view name) const {
  const Member* member = Find(name);
  return member && IsListed(*member);
}

MemberPtr SourceList::FindListed(std::string_view name) const {
  const auto found = members_.find(name);
  return found != members_.end() && IsListed(*found->second) ? found->second : nullptr;
}

Staleness SourceList::StalenessAt(Time now) const {
  if (!has_reported_) return Staleness::kNeverReported;
  const Time since_contact = now - last_contact_;
  if (since_contact < settings_.current_for) return Staleness::kCurrent;
  return since_contact < settings_.stale_after ? Staleness::kAging : Staleness::kStale;
}

std::optional<Time> SourceList::NextStalenessChange(Time now) const {
  if (!has_reported_) return std::nullopt;
  std::optional<Time> next;
  for (const Time after : {settings_.current_for, settings_.stale_after}) {
    const Time at = last_contact_ + after;
    if (at > now && (!next || at < *next)) next = at;
  }
  return next;
}

Staleness SourceList::UpdateStaleness(Time now) { return std::exchange(staleness_, StalenessAt(now)); }

}  // namespace badgerbridge::membership
