// SPDX-License-Identifier: Apache-2.0

/// @file
/// The current view of the members, merged from the reports of several sources, with the reason for each
/// decision. Pure: reports and the time are inputs, changes are outputs. docs/etcd.md explains the rules. In
/// short, for a member of one name and start time:
///
/// - It is ready only if the authority reports it as ready. No other source can add or restore it.
/// - A drain or a departure takes effect at once if the authority or any source that is not stale reports it.
/// - The reports of another source are ignored while that source is stale and the authority is current. A
///   source that stops reporting removes no member.
/// - A newer start time is a new incarnation: reports of the older one are ignored.
/// - If the departures that the authority reports within a window exceed a share of the ready members, the
///   members are retained until another source confirms the departure, the authority lists them again, or an
///   operator releases them. Drains are never delayed.
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
  MemberPtr member;           ///< As reported by the authority, with the decided state; never null.
  std::size_t source = 0;     ///< The index of the source whose report decided the state.
  std::uint64_t version = 0;  ///< The version of that source's list.
  Time changed_at{0};         ///< When the member last changed.
  bool retained = false;      ///< Kept although the authority reports it gone, in a mass departure.
};

/// The key of an entry in a MemberTable; views the name in `entry.member`.
inline std::string_view KeyOf(const ViewEntry& entry) { return entry.member->name; }

/// The sources of a ledger and its limits.
struct LedgerSettings {
  std::vector<SourceSettings> sources;   ///< Exactly one of them is the authority.
  MassDepartureSettings mass_departure;  ///< Applies to departures reported by the authority.
  SourceLimits limits;                   ///< Apply to each source's list separately.
};

/// Maintains the current view. Not thread-safe. Every function that changes the view returns the members that
/// changed, each once, including those that left (state kGone).
class Ledger {
 public:
  /// Starts with an empty view; no source has reported yet.
  explicit Ledger(LedgerSettings settings);

  /// Applies a report at `now` and returns the changes of the view. Joins beyond SourceLimits::max_members
  /// are rejected (see rejection()) and the rest of the report is applied. Errors, with nothing changed:
  /// kUnknownHistory, kStaleVersion, kPageOutOfOrder.
  Result<std::vector<Member>> ApplyReport(Time now, const Report& report);

  /// Records that the source is alive and has no changes. Ignored before its first complete list.
  void RecordContact(Time now, std::size_t source);

  /// Applies the staleness of the sources at `now` and returns the changes of the view. Due at NextWake.
  std::vector<Member> Tick(Time now);

  /// When Tick is next due, after `now`; nullopt: not before the next report or contact.
  std::optional<Time> NextWake(Time now) const;

  /// Removes the retained members on an operator's request. Returns the changes of the view.
  std::vector<Member> ReleaseRetained(Time now);

  /// Records why the value of a key cannot be parsed. The member's last valid entry stays. An empty reason
  /// clears the problem.
  void RecordProblem(std::size_t source, const std::string& key, const std::string& reason);

  /// The members that are ready, draining or retained, by name.
  const MemberTable<ViewEntry>& current_view() const { return view_; }

  /// The source whose report decided the state, and the reported state, as text for the control API.
  std::string DescribeDecision(const ViewEntry& entry) const;

  /// The staleness of a source at `now`.
  Staleness StalenessAt(Time now, std::size_t source) const { return lists_[source].StalenessAt(now); }
  /// Whether this source is the authority, which alone can add members.
  bool is_authority(std::size_t source) const { return source == authority_; }
  /// The version of the last complete state of a source's list.
  std::uint64_t version(std::size_t source) const { return lists_[source].version(); }
  /// The epoch of a source's version; versions of different epochs are not comparable.
  std::uint64_t epoch(std::size_t source) const { return lists_[source].epoch(); }
  /// When a source last reported or confirmed its list.
  Time last_contact(std::size_t source) const { return lists_[source].last_contact(); }
  /// The number of members retained by the mass departure guard.
  std::size_t retained_count() const { return guard_.retained_count(); }
  /// The problems of a source's entries: reasons by key.
  const SourceList::Problems& problems(std::size_t source) const { return lists_[source].problems(); }
  /// Message with the number of members rejected since the source's last complete list began, and the limit;
  /// empty: none.
  const std::string& rejection(std::size_t source) const { return lists_[source].rejection(); }
  /// The last report of a source about a member, kGone if it left; null: none is stored.
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
  std::vector<SourceList> lists_;  // by index of the source
  MassDepartureGuard guard_;
  MemberTable<ViewEntry> view_;
  std::size_t ready_count_ = 0;  // in view_
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_LEDGER_H_
