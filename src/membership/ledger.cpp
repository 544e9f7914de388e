// SPDX-License-Identifier: Apache-2.0
#include "membership/ledger.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::membership {
namespace {

constexpr Time kRemembersDepartures{600000};

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
  if (!view.told) return Freshness::kNever;
  const Time silent = now - view.heard;
  if (silent < settings_.sources[source].current_for) return Freshness::kCurrent;
  return silent < settings_.sources[source].stale_after ? Freshness::kAging : Freshness::kStale;
}

const Member* Ledger::Says(std::size_t source, const std::string& name) const {
  const auto found = views_[source].members.find(name);
  return found == views_[source].members.end() ? nullptr : found->second.get();
}

bool Ledger::Apply(Time now, View& view, const Report& report, std::set<std::string>* touched) {
  if (view.told && report.epoch == view.epoch) {
    if (report.whole ? report.version < view.version && !report.certain : report.version <= view.version)
      return false;  // one that lags, or a repeat
  } else if (!report.whole) {
    return false;  // changes to a list that is not known
  }
  if (report.members.size() > kMostMembers || (!report.whole && view.members.size() > 2 * kMostMembers))
    return false;
  const auto bury = [&](const Member& member) {
    if (member.state == State::kGone) return;
    view.graves.emplace_back(now, member.name);
    touched->insert(member.name);
    Put(&view.members, WithState(member, State::kGone));
  };
  if (report.whole) {
    std::set<std::string_view> listed(report.unreadable.begin(), report.unreadable.end());
    for (const Member& member : report.members) {
      if (member.state != State::kGone) listed.insert(member.name);
    }
    std::vector<MemberPtr> left;
    for (const auto& [name, member] : view.members) {
      if (!listed.count(name)) left.push_back(member);
    }
    for (const MemberPtr& member : left) bury(*member);
  }
  for (const Member& member : report.members) {
    const auto found = view.members.find(member.name);
    if (member.state == State::kGone) {
      if (found != view.members.end()) bury(*MemberPtr(found->second));
      continue;
    }
    if (found != view.members.end() && *found->second == member) continue;
    Put(&view.members, std::make_shared<const Member>(member));
    touched->insert(member.name);
  }
  view.told = true;
  view.epoch = report.epoch;
  view.version = report.version;
  return true;
}

// The memory of departures is bounded in time; but one that still keeps a member out that the authority lists
// stays.
void Ledger::ForgetDepartures(Time now, View& view) {
  for (std::size_t n = view.graves.size(); n > 0 && now - view.graves.front().first > kRemembersDepartures;
       --n) {
    const std::string name = view.graves.front().second;
    view.graves.pop_front();
    const auto found = view.members.find(name);
    if (found == view.members.end() || found->second->state != State::kGone) continue;
    const Member* listed = Says(authority_, name);
    if (&view != &views_[authority_] && listed && listed->state != State::kGone) {
      view.graves.emplace_back(now, name);
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
    const Member* told = Says(authority_, name);
    const bool left = !told || told->state == State::kGone;
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
  believed.version = authority.version;
  believed.source = authority_;
  const auto told = authority.members.find(name);
  const auto held = held_.find(name);
  if (told != authority.members.end() && told->second->state != State::kGone) {
    believed.member = told->second;
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
    const Member* says = Says(i, name);
    if (!says || says->state == State::kReady || says->since_ms < believed.member->since_ms) continue;
    if (views_[i].freshness == Freshness::kStale && authority.freshness == Freshness::kCurrent) continue;
    const bool worse = says->state == State::kGone ? believed.member->state != State::kGone
                                                   : believed.member->state == State::kReady;
    if (!worse) continue;
    believed.member = WithState(*believed.member, says->state);
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
  const std::size_t before = changes->size();  // names are met once here, so only those can be met again
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
    const auto end = changes->begin() + static_cast<std::ptrdiff_t>(before);
    const auto earlier =
        std::find_if(changes->begin(), end, [&](const Member& member) { return member.name == name; });
    if (earlier != end) {
      *earlier = *next.member;
    } else {
      changes->push_back(*next.member);
    }
    if (gone) {
      believed_.erase(known);
    } else {
      next.changed = now;
      Put(&believed_, std::move(next));
    }
  }
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
  if (views_[source].told) views_[source].heard = now;
}

void Ledger::Tick(Time now, std::vector<Member>* changes) {
  if (Refresh(now)) JudgeAll(now, changes);
}

std::optional<Time> Ledger::NextWake(Time now) const {
  std::optional<Time> next;
  for (std::size_t i = 0; i < views_.size(); ++i) {
    if (!views_[i].told) continue;
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
  } else if (problems.size() < kMostProblems || problems.count(key)) {
    problems[key] = reason;
  }
}

}  // namespace badgerbridge::membership
