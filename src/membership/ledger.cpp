// SPDX-License-Identifier: Apache-2.0
#include "membership/ledger.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

namespace badgerbridge::membership {
namespace {

constexpr Time kTombstoneLifetime{600000};

const MemberPtr& MemberOf(const MemberPtr& member) { return member; }
const MemberPtr& MemberOf(const Believed& believed) { return believed.member; }

// Into a table that is keyed by its members' own names: the key must be of the member that is there from now
// on.
template <typename Value>
void Put(std::map<std::string_view, Value>* table, Value value) {
  const std::string_view name = MemberOf(value)->name;
  if (auto node = table->extract(name); !node.empty()) {
    node.key() = name;
    node.mapped() = std::move(value);
    table->insert(std::move(node));
  } else {
    table->emplace(name, std::move(value));
  }
}

MemberPtr WithState(const Member& member, State state) {
  Member other = member;
  other.state = state;
  return std::make_shared<const Member>(std::move(other));
}

}  // namespace

std::string_view Name(State state) {
  constexpr std::string_view kNames[] = {"gone", "ready", "draining"};
  return kNames[static_cast<int>(state)];
}

std::string_view Name(Freshness freshness) {
  constexpr std::string_view kNames[] = {"never heard", "current", "aging", "stale"};
  return kNames[static_cast<int>(freshness)];
}

Ledger::Ledger(Settings settings) : settings_(std::move(settings)), views_(settings_.sources.size()) {
  for (std::size_t i = 0; i < settings_.sources.size(); ++i) {
    if (settings_.sources[i].authority) authority_ = i;
  }
}

Freshness Ledger::FreshnessOf(Time now, std::size_t source) const {
  const View& view = views_[source];
  if (!view.reported) return Freshness::kNever;
  const Time silent = now - view.heard;
  if (silent < settings_.sources[source].current_for) return Freshness::kCurrent;
  return silent < settings_.sources[source].stale_after ? Freshness::kAging : Freshness::kStale;
}

const Member* Ledger::Reported(std::size_t source, const std::string& name) const {
  const auto found = views_[source].members.find(name);
  return found == views_[source].members.end() ? nullptr : found->second.get();
}

// Whether a report may follow what its source has reported.
bool Ledger::IsNews(const View& view, const Report& report) {
  if (report.whole && (report.page == Page::kMiddle || report.page == Page::kLast)) {
    return view.listing && report.epoch == view.listing->epoch && report.version == view.listing->version;
  }
  if (!report.whole && view.listing) return false;  // the list that is under way is newer, or is about to be
  const bool same_history = view.reported && report.epoch == view.epoch;
  if (!same_history) return report.whole;  // changes to a list that is not known say nothing
  if (report.whole) return report.certain || report.version >= view.version;
  const auto newest = view.service_versions.find(report.service);
  return report.version > (newest != view.service_versions.end() ? newest->second : view.list_version);
}

void Ledger::AddTombstone(Time now, View& view, const MemberPtr& member, std::set<std::string>* touched) {
  if (member->state == State::kGone) return;
  --view.listed;
  view.tombstones.emplace_back(now, member->name);
  touched->insert(member->name);
  Put(&view.members, WithState(*member, State::kGone));
}

// Compares what the source had with a page, over the names from the page before up to its last.
void Ledger::FindUnlisted(View& view, const Report& report) {
  ListInPages& listing = *view.listing;
  if (listing.service != report.service) {
    listing.service = report.service;
    listing.compared_up_to.clear();
  }
  std::set<std::string_view> listed(report.unreadable.begin(), report.unreadable.end());
  for (const Member& member : report.members) {
    if (member.state != State::kGone) listed.insert(member.name);
  }
  auto at = listing.compared_up_to.empty() ? view.members.begin()
                                           : view.members.upper_bound(listing.compared_up_to);
  auto end = view.members.end();
  if (!report.EndsList() && !report.ends_service) {
    if (listed.empty() || *listed.rbegin() <= listing.compared_up_to) return;
    listing.compared_up_to = std::string(*listed.rbegin());
    end = view.members.upper_bound(listing.compared_up_to);
  }
  for (; at != end; ++at) {
    const MemberPtr& member = at->second;
    const bool here = member->service == report.service && member->state != State::kGone;
    if (here && !listed.count(member->name)) listing.unlisted.push_back(member);
  }
}

// False: it is refused, since there are too many.
bool Ledger::Join(View& view, const Member& member) const {
  const auto found = view.members.find(member.name);
  const bool joins = found == view.members.end() || found->second->state == State::kGone;
  if (joins && view.listed >= settings_.max_members) return false;
  view.listed += joins;
  Put(&view.members, std::make_shared<const Member>(member));
  return true;
}

void Ledger::TakeMember(Time now, View& view, const Member& member, std::set<std::string>* touched) const {
  if (Clashes(view, member)) {
    const bool joins = member.state != State::kGone;
    if (joins && view.listing && view.listing->postponed.size() < settings_.max_members)
      view.listing->postponed.push_back(member);
    return;
  }
  const auto found = view.members.find(member.name);
  if (member.state == State::kGone) {
    if (found != view.members.end()) AddTombstone(now, view, MemberPtr(found->second), touched);
    return;
  }
  if (found != view.members.end() && *found->second == member) return;
  if (Join(view, member)) {
    touched->insert(member.name);
  } else {
    ++view.refused_joins;
  }
}

bool Ledger::Apply(Time now, View& view, const Report& report, std::set<std::string>* touched) {
  if (!IsNews(view, report)) return false;
  if (report.whole && (report.page == Page::kOnly || report.page == Page::kFirst)) {
    view.listing.emplace();
    view.listing->epoch = report.epoch;
    view.listing->version = report.version;
    view.listing->service = report.service;
    view.refused_joins = 0;
    view.refusal.clear();
  }
  if (report.whole) FindUnlisted(view, report);
  std::vector<Member> postponed;
  if (report.EndsList()) {
    for (const MemberPtr& member : view.listing->unlisted) {
      const auto found = view.members.find(member->name);
      if (found != view.members.end()) AddTombstone(now, view, MemberPtr(found->second), touched);
    }
    postponed = std::move(view.listing->postponed);
    view.listing.reset();
  }
  for (const Member& member : postponed) TakeMember(now, view, member, touched);
  for (const Member& member : report.members) TakeMember(now, view, member, touched);
  if (view.refused_joins > 0) {
    view.refusal = std::to_string(view.refused_joins) + " members are refused: at most " +
                   std::to_string(settings_.max_members) + " are taken; drains and departures still count";
  }
  if (view.listing) return true;  // the list is not whole yet
  view.reported = true;
  view.epoch = report.epoch;
  if (report.whole) {
    view.service_versions.clear();
    view.list_version = report.version;
    view.version = report.version;
  } else {
    view.service_versions[report.service] = report.version;
    view.version = std::max(view.version, report.version);
  }
  return true;
}

bool Ledger::Clashes(View& view, const Member& member) {
  if (member.service.empty()) return false;
  const std::string key = member.service + "/" + member.name;
  const auto found = view.members.find(member.name);
  const bool clashes = found != view.members.end() && found->second->state != State::kGone &&
                       found->second->service != member.service;
  if (!clashes || member.state == State::kGone) {
    view.problems.erase(key);
  } else if (view.problems.size() < kMaxProblems) {
    view.problems[key] = "the service " + found->second->service + " has a member of this name, which stays";
  }
  return clashes;
}

// The memory of departures is bounded in time and number; but one that still keeps a member out that the
// authority lists stays.
void Ledger::ForgetDepartures(Time now, View& view) {
  for (std::size_t n = view.tombstones.size(); n > 0; --n) {
    const bool old = now - view.tombstones.front().first > kTombstoneLifetime;
    if (!old && view.tombstones.size() <= settings_.max_tombstones) return;
    const auto [since, name] = std::move(view.tombstones.front());
    view.tombstones.pop_front();
    const auto found = view.members.find(name);
    if (found == view.members.end() || found->second->state != State::kGone) continue;
    const Member* listed = Reported(authority_, name);
    if (&view != &views_[authority_] && listed && listed->state != State::kGone) {
      view.tombstones.emplace_back(now, name);
    } else {
      view.members.erase(found);
    }
  }
}

bool Ledger::Take(Time now, const Report& report, std::vector<Member>* changes) {
  View& view = views_[report.source];
  std::set<std::string> touched;
  if (!Apply(now, view, report, &touched)) return false;
  view.heard = now;
  const bool aged = Refresh(now);
  if (report.source == authority_) Hold(now, touched);
  Judge(now, touched, changes);
  if (aged) JudgeAll(now, changes);
  ForgetDepartures(now, view);
  return true;
}

// Puts aside those that the authority says have left, where they are too many at once.
void Ledger::Hold(Time now, const std::set<std::string>& touched) {
  while (!departures_.empty() && now - departures_.front().first > settings_.departures_window)
    departures_.pop_front();
  std::vector<MemberPtr> leaving;
  for (const std::string& name : touched) {
    const auto known = believed_.find(name);
    const Member* listed = Reported(authority_, name);
    const bool left = !listed || listed->state == State::kGone;
    if (!left) held_.erase(name);
    if (left && known != believed_.end() && known->second.member->state == State::kReady &&
        !held_.count(name))
      leaving.push_back(known->second.member);
  }
  const std::size_t base = ready_ + departures_.size();
  for (const MemberPtr& member : leaving) departures_.emplace_back(now, member->name);
  if (departures_.size() < settings_.least_departures ||
      static_cast<double>(departures_.size()) <= settings_.most_departures * static_cast<double>(base))
    return;
  for (const MemberPtr& member : leaving) held_.emplace(member->name, member);
}

Believed Ledger::Decide(const std::string& name) const {
  const View& authority = views_[authority_];
  Believed believed;
  believed.version = authority.listing ? authority.listing->version : authority.version;
  believed.source = authority_;
  const auto listed = authority.members.find(name);
  const auto held = held_.find(name);
  if (listed != authority.members.end() && listed->second->state != State::kGone) {
    believed.member = listed->second;
  } else if (held != held_.end()) {
    believed.member = held->second;
    believed.held = true;
  } else {
    Member gone;
    gone.name = name;
    believed.member = WithState(gone, State::kGone);
    return believed;
  }
  for (std::size_t i = 0; i < views_.size(); ++i) {
    if (i == authority_) continue;
    const Member* other = Reported(i, name);
    if (!other || other->state == State::kReady || other->since_ms < believed.member->since_ms) continue;
    if (views_[i].freshness == Freshness::kStale && authority.freshness == Freshness::kCurrent) continue;
    const bool worse = other->state == State::kGone ? believed.member->state != State::kGone
                                                    : believed.member->state == State::kReady;
    if (!worse) continue;
    believed.member = WithState(*believed.member, other->state);
    believed.version = views_[i].version;
    believed.source = i;
  }
  return believed;
}

std::string Ledger::Why(const Believed& believed) const {
  const std::string& source = settings_.sources[believed.source].name;
  if (believed.held && believed.source == authority_)
    return source + ": gone, with too many others at once; held";
  return source + ": " + std::string(Name(believed.member->state));
}

void Ledger::Judge(Time now, const std::set<std::string>& touched, std::vector<Member>* changes) {
  // Names are met once here, so only what came before can be met again.
  std::unordered_map<std::string_view, std::size_t> earlier;
  for (std::size_t i = 0; i < changes->size(); ++i) earlier.emplace((*changes)[i].name, i);
  std::vector<Member> added;
  for (const std::string& name : touched) {
    Believed next = Decide(name);
    const auto known = believed_.find(name);
    const bool was_ready = known != believed_.end() && known->second.member->state == State::kReady;
    const bool gone = next.member->state == State::kGone;
    if (gone && known == believed_.end()) continue;
    if (gone) held_.erase(name);
    if (known != believed_.end() && *known->second.member == *next.member) {
      next.changed = known->second.changed;
      Put(&believed_, std::move(next));
      continue;
    }
    ready_ += (next.member->state == State::kReady) - was_ready;
    // As one change, whatever came before it in the same call.
    if (const auto found = earlier.find(name); found != earlier.end()) {
      const std::size_t at = found->second;
      earlier.erase(found);  // its key is the name of what is replaced
      (*changes)[at] = *next.member;
    } else {
      added.push_back(*next.member);
    }
    if (gone) {
      believed_.erase(known);
    } else {
      next.changed = now;
      Put(&believed_, std::move(next));
    }
  }
  std::move(added.begin(), added.end(), std::back_inserter(*changes));
}

// Whether a source's freshness is another than it was: then its word may count otherwise.
bool Ledger::Refresh(Time now) {
  bool changed = false;
  for (std::size_t i = 0; i < views_.size(); ++i) {
    const Freshness freshness = FreshnessOf(now, i);
    const bool was_stale = views_[i].freshness == Freshness::kStale,
               is_stale = freshness == Freshness::kStale;
    const bool was_current = views_[i].freshness == Freshness::kCurrent,
               is_current = freshness == Freshness::kCurrent;
    changed |= i == authority_ ? was_current != is_current : was_stale != is_stale;
    views_[i].freshness = freshness;
  }
  return changed;
}

void Ledger::JudgeAll(Time now, std::vector<Member>* changes) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < views_.size(); ++i) {
    if (i == authority_) continue;
    for (const auto& [name, member] : views_[i].members) {
      if (member->state != State::kReady) names.emplace(name);
    }
  }
  Judge(now, names, changes);
}

void Ledger::Heard(Time now, std::size_t source) {
  if (views_[source].reported) views_[source].heard = now;
}

void Ledger::Tick(Time now, std::vector<Member>* changes) {
  if (Refresh(now)) JudgeAll(now, changes);
}

std::optional<Time> Ledger::NextWake(Time now) const {
  std::optional<Time> next;
  for (std::size_t i = 0; i < views_.size(); ++i) {
    if (!views_[i].reported) continue;
    for (const Time after : {settings_.sources[i].current_for, settings_.sources[i].stale_after}) {
      const Time at = views_[i].heard + after;
      if (at > now && (!next || at < *next)) next = at;
    }
  }
  return next;
}

void Ledger::Release(Time now, std::vector<Member>* changes) {
  std::set<std::string> names;
  for (const auto& [name, member] : std::exchange(held_, {})) names.insert(name);
  Judge(now, names, changes);
}

void Ledger::Problem(std::size_t source, const std::string& key, const std::string& reason) {
  auto& problems = views_[source].problems;
  if (reason.empty()) {
    problems.erase(key);
  } else if (problems.size() < kMaxProblems || problems.count(key)) {
    problems[key] = reason;
  }
}

}  // namespace badgerbridge::membership
