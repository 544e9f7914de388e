// SPDX-License-Identifier: Apache-2.0

/// @file
/// What one source has reported: its list of members, with tombstones for those that left, the order of its
/// versions, and how long it has been silent. Pure: reports and the time go in.
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

/// Bounds the members of one source's list, and so of the current view. The deployment that is planned for
/// has 110,000; a list that replaces another needs both until its end. A member costs the proxy 1.2 kB in all
/// (docs/etcd.md, "Measured"): this bounds what a runaway list can cost, at some 300 MB, and is not the
/// memory that a proxy is meant to use.
constexpr std::size_t kMaxMembers = 250000;

/// Bounds the departures that a source's list remembers. Beyond it the oldest are forgotten first, except
/// those that keep out a member that the authority lists.
constexpr std::size_t kMaxTombstones = 250000;

/// Bounds the problems that are remembered for one source.
constexpr std::size_t kMaxProblems = 64;

/// How long a source has been silent, in steps.
enum class Staleness {
  kNeverReported,  ///< It has not completed a list yet.
  kCurrent,        ///< Heard within SourceSettings::current_for.
  kAging,          ///< Silent for longer; its reports still count, and the status says so.
  kStale,          ///< Silent for SourceSettings::stale_after or longer.
};

/// The staleness's name in the control API and in messages.
std::string_view Name(Staleness staleness);

/// The settings of one source.
struct SourceSettings {
  std::string name;         ///< For messages.
  bool authority = false;   ///< Whether joins need its word; exactly one source has it.
  Time current_for{5000};   ///< How long a source is current after it was last heard.
  Time stale_after{60000};  ///< How long after it was last heard a source becomes stale.
};

/// Bounds of one source's list.
struct SourceLimits {
  std::size_t max_members = kMaxMembers;        ///< Members beyond it are rejected.
  std::size_t max_tombstones = kMaxTombstones;  ///< Departures that are remembered.
};

/// One source's list. Not thread-safe.
class SourceList {
 public:
  /// Names of members, in order.
  using Names = std::set<std::string>;
  /// Reasons by key.
  using Problems = std::map<std::string, std::string>;

  /// An empty list of a source that has not reported yet.
  SourceList(SourceSettings settings, SourceLimits limits);

  /// Applies a report at `now` and returns the names of the members that it changed. Members that join beyond
  /// the bound are rejected while the rest of the report is applied: rejection() tells. Errors, with nothing
  /// changed: kUnknownHistory, kStaleVersion, kPageOutOfOrder.
  Result<Names> Apply(Time now, const Report& report);

  /// The source is alive and has nothing new. Ignored before its first complete list.
  void RecordContact(Time now);

  /// Records why the value under a key cannot be read; an empty reason clears it.
  void RecordProblem(const std::string& key, const std::string& reason);

  /// Forgets departures that are older than ten minutes or too many. With an `authority`, those of members
  /// that it lists are remembered all the same; null: this list is the authority's own.
  void ForgetDepartures(Time now, const SourceList* authority);

  /// What was last reported of a member, of state kGone if it left; null: nothing is remembered.
  const Member* Find(std::string_view name) const;
  /// Whether a member of this name is listed, and has not left.
  bool Lists(std::string_view name) const;
  /// The listed member of this name; null: not listed.
  MemberPtr FindListed(std::string_view name) const;
  /// Calls `visit(name)` for each member that is reported as draining or gone, in the order of names.
  template <typename Visitor>
  void ForEachNotReady(Visitor visit) const {
    for (const auto& [name, member] : members_) {
      if (member->state != MemberState::kReady) visit(name);
    }
  }

  /// How long the source has been silent at `now`.
  Staleness StalenessAt(Time now) const;
  /// When time alone next changes the staleness, after `now`; nothing: never.
  std::optional<Time> NextStalenessChange(Time now) const;
  /// Computes the staleness at `now`, remembers it, and returns the one remembered before.
  Staleness UpdateStaleness(Time now);
  /// The staleness as last updated.
  Staleness staleness() const { return staleness_; }

  /// The source's settings.
  const SourceSettings& settings() const { return settings_; }
  /// The history that version() counts in.
  std::uint64_t epoch() const { return epoch_; }
  /// The version of the list, as of its last complete state.
  std::uint64_t version() const { return version_; }
  /// The version that is being applied: that of the paged list in progress, or else version().
  std::uint64_t version_in_progress() const { return paged_list_ ? paged_list_->version : version_; }
  /// When the source was last heard.
  Time last_contact() const { return last_contact_; }
  /// Reasons why values cannot be read, or why a member clashes with another, by key.
  const Problems& problems() const { return problems_; }
  /// How many members were rejected since the last complete list began, and the bound; empty: none.
  const std::string& rejection() const { return rejection_; }

 private:
  /// A complete list that comes in pages, as far as it has come.
  struct PagedList {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::string service;
    std::string compared_up_to;       ///< The last name of the pages so far, within the service.
    std::vector<MemberPtr> unlisted;  ///< Listed before, and not named by the pages so far.
    /// Members whose names another service has so far; the end of the list may show that it lost them.
    std::vector<Member> postponed;
  };
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
  bool ClashesWithOtherService(const Member& member);

  SourceSettings settings_;
  SourceLimits limits_;
  bool has_reported_ = false;  // a complete list
  std::uint64_t epoch_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t complete_list_version_ = 0;                // of the newest complete list
  std::map<std::string, std::uint64_t> service_versions_;  // of changes since the complete list, by service
  Time last_contact_{0};
  MemberTable<MemberPtr> members_;    // of state kGone: a tombstone
  std::size_t listed_count_ = 0;      // of members_ without the tombstones
  std::deque<Tombstone> tombstones_;  // the oldest first
  std::optional<PagedList> paged_list_;
  std::size_t rejected_joins_ = 0;
  std::string rejection_;
  Problems problems_;
  Staleness staleness_ = Staleness::kNeverReported;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_SOURCE_LIST_H_
