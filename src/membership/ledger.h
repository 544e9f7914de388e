// SPDX-License-Identifier: Apache-2.0

/// @file
/// The current view of the members, decided from what several sources report, with the reason for each
/// decision. Pure: reports and the time go in, changes come out. docs/etcd.md explains the rules; in short,
/// for a member of one name and start time:
///
/// - It is ready only if the authority reports it as ready. No other source adds it or brings it back.
/// - A drain or a departure counts at once, whichever current source reports it.
/// - What a source reported no longer counts once that source is stale and the authority is current. Silence
///   removes nothing.
/// - A newer start time is a new incarnation: what was reported of the older one no longer counts.
/// - If the departures that the authority reports within a window exceed a share of the ready members, the
///   members are retained until another source confirms, they come back, or a person releases them. Drains
///   are never held back.
#ifndef BADGERBRIDGE_MEMBERSHIP_LEDGER_H_
#define BADGERBRIDGE_MEMBERSHIP_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "membership/error.h"
#include "membership/mass_departure_guard.h"
#include "membership/member.h"
#include "membership/member_table.h"
#include "membership/report.h"
#include "membership/source_list.h"

namespace badgerbridge::membership {

/// One member of the current view.
struct ViewEntry {
  MemberPtr member;           ///< As the authority reports it, in the state decided; never null.
  std::size_t source = 0;     ///< The index of the source whose report decided.
  std::uint64_t version = 0;  ///< The version of that source's list.
  Time changed_at{0};         ///< When the entry last changed.
  bool retained = false;      ///< Its departure is held back, as part of a mass departure.
};

/// The key of a view's entry.
inline std::string_view KeyOf(const ViewEntry& entry) { return entry.member->name; }

/// The settings of a ledger.
struct LedgerSettings {
  std::vector<SourceSettings> sources;   ///< Exactly one of them is the authority.
  MassDepartureSettings mass_departure;  ///< Of departures that the authority reports.
  SourceLimits limits;                   ///< Of each source's list.
};

/// Decides the current view. Not thread-safe. Every function that changes the view returns the members that
/// changed, those that left included, each of them once.
class Ledger {
 public:
  /// A ledger of sources that have not reported yet.
  explicit Ledger(LedgerSettings settings);

  /// Applies a report at `now` and returns the changes of the view. Members that join beyond the bound are
  /// rejected while the rest is applied: rejection() tells. Errors, with nothing changed: kUnknownHistory,
  /// kStaleVersion, kPageOutOfOrder.
  Result<std::vector<Member>> ApplyReport(Time now, const Report& report);

  /// The source is alive and has nothing new.
  void RecordContact(Time now, std::size_t source);

  /// Applies what time alone changes and returns the changes of the view; due at NextWake.
  std::vector<Member> Tick(Time now);

  /// When Tick is due, after `now`; nothing: never, unless a report comes.
  std::optional<Time> NextWake(Time now) const;

  /// A person confirms that the retained members have left. Returns the changes of the view.
  std::vector<Member> ReleaseRetained(Time now);

  /// Records why the value under a key cannot be read, while its last good entry stays. An empty reason
  /// clears it.
  void RecordProblem(std::size_t source, const std::string& key, const std::string& reason);

  /// The members as decided, by name.
  const MemberTable<ViewEntry>& current_view() const { return view_; }

  /// For people: the source whose report decided, and what it reported.
  std::string DescribeDecision(const ViewEntry& entry) const;

  /// How long a source has been silent at `now`.
  Staleness StalenessAt(Time now, std::size_t source) const { return lists_[source].StalenessAt(now); }
  /// Whether joins need this source's word.
  bool is_authority(std::size_t source) const { return source == authority_; }
  /// The version of a source's list.
  std::uint64_t version(std::size_t source) const { return lists_[source].version(); }
  /// The history that a source's version counts in.
  std::uint64_t epoch(std::size_t source) const { return lists_[source].epoch(); }
  /// When a source was last heard.
  Time last_contact(std::size_t source) const { return lists_[source].last_contact(); }
  /// How many members are retained.
  std::size_t retained_count() const { return guard_.retained_count(); }
  /// A source's problems: reasons by key.
  const SourceList::Problems& problems(std::size_t source) const { return lists_[source].problems(); }
  /// How many members were rejected since the source's last complete list began, and the bound; empty: none.
  const std::string& rejection(std::size_t source) const { return lists_[source].rejection(); }
  /// What a source has reported of a member; null: nothing.
  const Member* FindReported(std::size_t source, std::string_view name) const {
    return lists_[source].Find(name);
  }

 private:
  const SourceList& authority() const { return lists_[authority_]; }
  void GuardMassDeparture(Time now, const SourceList::Names& changed);
  std::vector<Member> Reevaluate(Time now, const SourceList::Names& names);
  std::optional<Member> ReevaluateMember(Time now, const std::string& name);
  std::vector<Member> ReevaluateAllNotReady(Time now);
  ViewEntry Evaluate(const std::string& name) const;
  ViewEntry EvaluateByAuthority(const std::string& name) const;
  bool UpdateStaleness(Time now);

  std::size_t authority_ = 0;
  std::vector<SourceList> lists_;  // one a source
  MassDepartureGuard guard_;
  MemberTable<ViewEntry> view_;
  std::size_t ready_count_ = 0;  // of view_
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_LEDGER_H_
