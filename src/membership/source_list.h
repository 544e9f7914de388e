// SPDX-License-Identifier: Apache-2.0

/// @file
/// The state of one source: its list of members, with tombstones for those that left, its versions, and the
/// time since its last report. Pure: reports and the time are inputs.
#ifndef BADGERBRIDGE_MEMBERSHIP_SOURCE_LIST_H_
#define BADGERBRIDGE_MEMBERSHIP_SOURCE_LIST_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "membership/error.h"
#include "membership/member.h"
#include "membership/member_table.h"
#include "membership/report.h"

namespace badgerbridge::membership {

/// Limits the members of one source's list, and so of the current view. The planned deployment has 110,000,
/// and a list that replaces another needs room for both until it is complete. A member takes 1.2 kB of the
/// proxy's memory in all (docs/etcd.md, "Measured"), so that a runaway list is limited to some 300 MB. That
/// is a bound, not the memory that a proxy is expected to use.
constexpr std::size_t kMaxMembers = 250000;

/// Limits the tombstones of one source's list. Above it the oldest are dropped first, except those of members
/// that the authority still lists, which would otherwise become ready again.
constexpr std::size_t kMaxTombstones = 250000;

/// Limits the problems that are stored for one source.
constexpr std::size_t kMaxProblems = 64;

/// Classes of the time since a source last reported or confirmed its list.
enum class Staleness {
  kNeverReported,  ///< It has not reported a complete list yet.
  kCurrent,        ///< Last contact less than SourceSettings::current_for ago.
  kAging,          ///< Neither current nor stale; its reports still count, and the status shows it.
  kStale,          ///< Last contact SourceSettings::stale_after ago or longer.
};

/// The staleness as written in the control API and in messages.
std::string_view Name(Staleness staleness);

/// The name, role and timing of one source.
struct SourceSettings {
  std::string name;         ///< Shown in messages and in the control API.
  bool authority = false;   ///< Whether it decides on joins; set for exactly one source.
  Time current_for{5000};   ///< How long a source is current after its last contact.
  Time stale_after{60000};  ///< How long after its last contact a source becomes stale.
};

/// Size limits of one source's list.
struct SourceLimits {
  std::size_t max_members = kMaxMembers;        ///< Joins above it are rejected.
  std::size_t max_tombstones = kMaxTombstones;  ///< Departures that are stored.
};

/// A complete list of which not all pages have arrived yet.
struct PagedList {
  std::uint64_t epoch = 0;          ///< The epoch of every page.
  std::uint64_t version = 0;        ///< The version of every page.
  std::string service;              ///< The service of the last page.
  std::string compared_up_to;       ///< The last name compared so far, within the service.
  std::vector<MemberPtr> unlisted;  ///< In the old list, and missing in the pages so far.
  /// Members whose names belong to another service in the old list. They are applied at the end of the list,
  /// which may remove the other service's members.
  std::vector<Member> postponed;
};

/// The members and the versions of one source. Not thread-safe.
class SourceList {
 public:
  /// Names of members, sorted.
  using Names = std::set<std::string>;
  /// Reasons by key.
  using Problems = std::map<std::string, std::string>;

  /// Starts with an empty list, as kNeverReported.
  SourceList(SourceSettings settings, SourceLimits limits);

  /// Applies a report at `now` and returns the names of the members that it changed. Joins above
  /// SourceLimits::max_members are rejected (see rejection()) and the rest of the report is applied. Errors,
  /// with nothing changed: kUnknownHistory, kStaleVersion, kPageOutOfOrder.
  Result<Names> Apply(Time now, const Report& report);

  /// Records that the source is alive and has no changes. Ignored before its first complete list.
  void RecordContact(Time now);

  /// Records why the value of a key cannot be parsed; an empty reason clears it.
  void RecordProblem(const std::string& key, const std::string& reason);

  /// Drops tombstones that are older than ten minutes or exceed SourceLimits::max_tombstones, except those of
  /// members that `authority` lists. Null: this list is the authority's own.
  void DropTombstones(Time now, const SourceList* authority);

  /// The last report of a member, of state kGone if it left; null: none is stored.
  const Member* Find(std::string_view name) const;
  /// Whether a member of this name is in the list and has not left.
  bool HasListed(std::string_view name) const;
  /// The member of this name if it is listed; null: not listed.
  MemberPtr FindListed(std::string_view name) const;
  /// Calls `visit(name)` for each member reported as draining or gone, in the order of names.
  template <typename Visitor>
  void ForEachNotReady(Visitor visit) const {
    for (const auto& [name, member] : members_) {
      if (member->state != MemberState::kReady) visit(name);
    }
  }

  /// The staleness at `now`.
  Staleness StalenessAt(Time now) const;
  /// When the staleness next changes without a report or contact, after `now`; nullopt: never.
  std::optional<Time> NextStalenessChange(Time now) const;
  /// Stores the staleness at `now` and returns the previously stored one.
  Staleness UpdateStaleness(Time now);
  /// The staleness stored by the last UpdateStaleness.
  Staleness staleness() const { return staleness_; }

  /// The settings that were passed to the constructor.
  const SourceSettings& settings() const { return settings_; }
  /// The epoch of version(); versions of different epochs are not comparable.
  std::uint64_t epoch() const { return epoch_; }
  /// The version of the last complete state of the list; a paged list counts from its end.
  std::uint64_t version() const { return version_; }
  /// The version of the paged list in progress; version() if there is none.
  std::uint64_t version_in_progress() const { return paged_list_ ? paged_list_->version : version_; }
  /// When the source last reported or confirmed its list.
  Time last_contact() const { return last_contact_; }
  /// Reasons why values cannot be parsed or names conflict between services, by key.
  const Problems& problems() const { return problems_; }
  /// Message with the number of members rejected since the last complete list began, and the limit; empty:
  /// none.
  const std::string& rejection() const { return rejection_; }

 private:
  struct Tombstone {
    Time departed_at;
    std::string name;
  };

  std::optional<ErrorCode> CheckOrder(const Report& report) const;
  void StartPagedList(const Report& report);
  void CollectUnlisted(const Report& report);
  std::vector<Member> FinishPagedList(Time now, Names* changed);
  void RecordVersion(const Report& report);
  void UpdateRejection();
  void ApplyMember(Time now, const Member& member, Names* changed);
  bool AddOrReplace(const Member& member);
  void AddTombstone(Time now, const MemberPtr& member, Names* changed);
  bool ConflictsWithOtherService(const Member& member);

  SourceSettings settings_;
  SourceLimits limits_;
  bool has_reported_ = false;  // whether a complete list was applied
  std::uint64_t epoch_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t complete_list_version_ = 0;                // of the last complete list
  std::map<std::string, std::uint64_t> service_versions_;  // of the changes since that list, by service
  Time last_contact_{0};
  MemberTable<MemberPtr> members_;    // an entry of state kGone is a tombstone
  std::size_t listed_count_ = 0;      // entries of members_ that are not tombstones
  std::deque<Tombstone> tombstones_;  // oldest first
  std::optional<PagedList> paged_list_;
  std::size_t rejected_joins_ = 0;
  std::string rejection_;
  Problems problems_;
  Staleness staleness_ = Staleness::kNeverReported;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_SOURCE_LIST_H_
