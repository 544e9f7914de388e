// SPDX-License-Identifier: Apache-2.0
//
// Who the backends are: what each source reports, what this proxy believes and why. Pure: reports and the
// time go in, changes come out. docs/etcd.md has the rules in words; in short, for a backend of one name
// and start time:
//
// - It is ready only if the authority says so. Others cannot bring one in, nor bring one back.
// - A drain or a departure counts at once, whichever current source reports it.
// - What a source reported loses its force only once that source is stale and the authority is current.
// Silence empties
//   nothing.
// - A newer start time is a new process: what was said of the older one no longer counts.
// - If the authority's departures within a window exceed a share of the list, they are held until another
// source
//   confirms them, they come back, or a person releases them. Drains are never held.
#ifndef BADGERBRIDGE_MEMBERSHIP_LEDGER_H_
#define BADGERBRIDGE_MEMBERSHIP_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace badgerbridge::membership {

using Time = std::chrono::milliseconds;  // monotonic

enum class State { kGone, kReady, kDraining };
std::string_view Name(State state);

// A backend, in discovery's terms.
struct Member {
  std::string name, address, zone, kind;
  std::string service;  // empty: the source has no services
  int group = 0;
  State state = State::kReady;
  double weight = 1;
  double since_ms = 0;  // when it last started, Unix time; 0: long ago

  friend bool operator==(const Member&, const Member&) = default;
};

struct SourceSettings {
  std::string name;
  bool authority = false;   // exactly one source has it
  Time current_for{5000};   // after it was last heard
  Time stale_after{60000};  // between the two it is aging: its word still counts, and status says so
};

enum class Freshness { kNever, kCurrent, kAging, kStale };
std::string_view Name(Freshness freshness);

// Which part of a whole list a report holds. Pages come in the order of names, and all of one list have its
// epoch and version; what a list does not name is gone at its end.
enum class Page { kOnly, kFirst, kMiddle, kLast };

// What one source reported.
struct Report {
  std::size_t source = 0;
  std::uint64_t epoch = 0;    // which history the version counts in, such as etcd's cluster id
  std::uint64_t version = 0;  // of the list after this
  bool whole = false;         // the whole list, or a page of it: what it does not name is gone
  // It cannot be behind what is committed (a linearizable read): a lower version means that history was
  // rewound.
  bool certain = false;
  std::vector<Member> members;
  // Of a whole list: names that it holds too, with what can't be read. What was last known of them stays.
  std::vector<std::string> unreadable = {};
  Page page = Page::kOnly;  // of a whole list
  // Of which service all of it is, where the source lists members by service: then the pages of a whole list
  // come service by service, and only within one of them in the order of names; and versions of changes count
  // within each.
  std::string service = {};
  bool ends_service = false;  // the last page of its service

  bool EndsList() const { return whole && (page == Page::kOnly || page == Page::kLast); }
};

// One member for all who hold it: a list of ten thousand is kept once.
using MemberPtr = std::shared_ptr<const Member>;

struct Believed {
  MemberPtr member;        // as the authority has it, its state as believed; never null
  std::size_t source = 0;  // whose word decided
  std::uint64_t version = 0;
  Time changed{0};
  bool held = false;  // its departure is held back
};

// Members of one source's list, and so of what is believed. The deployment that is planned for has 110,000; a
// list that takes the place of another holds both until its end. A member costs the proxy 1.2 kB in all
// (docs/etcd.md, "Measured"): this bounds what a runaway list can cost, at some 300 MB, and isn't the memory
// that a proxy is meant to spend.
constexpr std::size_t kMaxMembers = 250000;
// Departures that a source's list remembers; beyond it the oldest are forgotten first, other than those that
// keep a member out which the authority lists.
constexpr std::size_t kMaxTombstones = 250000;
constexpr std::size_t kMaxProblems = 64;  // of one source

struct Settings {
  std::vector<SourceSettings> sources;
  double most_departures = 0.5;  // of the members believed ready, within the window; 1: never held
  Time departures_window{2000};
  std::size_t least_departures = 3;  // fewer are never held
  std::size_t max_members = kMaxMembers, max_tombstones = kMaxTombstones;
};

// A source's whole list that comes in pages, as far as it has come.
struct ListInPages {
  std::uint64_t epoch = 0, version = 0;
  std::string service;
  std::string compared_up_to;       // the last name of the pages so far
  std::vector<MemberPtr> unlisted;  // that the source had, and the pages so far don't name
  std::vector<Member> postponed;    // whose name another service had, which may yet turn out to be unlisted
};

class Ledger {
 public:
  explicit Ledger(Settings settings);

  // False: the report is older than what the source has reported, or a page that does not follow the one
  // before, and changes nothing. Members that join beyond kMaxMembers are refused, and all else is taken:
  // refusal() says so. What is believed now differs from before by the members in `changes`, gone ones
  // included; a member never appears twice.
  bool Take(Time now, const Report& report, std::vector<Member>* changes);
  // The source lives, and nothing has changed.
  void Heard(Time now, std::size_t source);
  // What time alone changes; no sooner than NextWake.
  void Tick(Time now, std::vector<Member>* changes);
  std::optional<Time> NextWake(Time now) const;

  // A person says that what is held has really left.
  void Release(Time now, std::vector<Member>* changes);

  // A key whose value can't be read: the last good entry stays. Cleared by an empty reason.
  void Problem(std::size_t source, const std::string& key, const std::string& reason);

  const std::map<std::string_view, Believed>& believed() const { return believed_; }
  // The source whose word decided, and what it said.
  std::string Why(const Believed& believed) const;
  Freshness FreshnessOf(Time now, std::size_t source) const;
  bool is_authority(std::size_t source) const { return source == authority_; }
  std::uint64_t version(std::size_t source) const { return views_[source].version; }
  std::uint64_t epoch(std::size_t source) const { return views_[source].epoch; }
  Time heard(std::size_t source) const { return views_[source].heard; }
  std::size_t held() const { return held_.size(); }
  const std::map<std::string, std::string>& problems(std::size_t source) const {
    return views_[source].problems;
  }
  // How many members were refused since the source's last whole list began, and the bound; empty: none.
  const std::string& refusal(std::size_t source) const { return views_[source].refusal; }
  // What a source has reported of a member; null: nothing.
  const Member* Reported(std::size_t source, const std::string& name) const;

 private:
  struct View {
    bool reported = false;
    std::uint64_t epoch = 0, version = 0;
    std::uint64_t list_version = 0;                         // of the newest whole list
    std::map<std::string, std::uint64_t> service_versions;  // of changes since the whole list
    Time heard{0};
    // Keyed by the member's own name. A tombstone, of state kGone, remembers a departure that it reported.
    std::map<std::string_view, MemberPtr> members;
    std::size_t listed = 0;                               // of them without the tombstones
    std::deque<std::pair<Time, std::string>> tombstones;  // the oldest first
    std::optional<ListInPages> listing;
    std::size_t refused_joins = 0;
    std::string refusal;
    std::map<std::string, std::string> problems;
    Freshness freshness = Freshness::kNever;  // as last acted on
  };

  bool Apply(Time now, View& view, const Report& report, std::set<std::string>* touched);
  static bool IsNews(const View& view, const Report& report);
  static void AddTombstone(Time now, View& view, const MemberPtr& member, std::set<std::string>* touched);
  static void FindUnlisted(View& view, const Report& report);
  bool Join(View& view, const Member& member) const;
  // Whether a member that a report names is another service's of the same name; then it is a problem.
  static bool Clashes(View& view, const Member& member);
  void TakeMember(Time now, View& view, const Member& member, std::set<std::string>* touched) const;
  void ForgetDepartures(Time now, View& view);
  void Judge(Time now, const std::set<std::string>& touched, std::vector<Member>* changes);
  Believed Decide(const std::string& name) const;  // a member of state kGone: not believed in
  void Hold(Time now, const std::set<std::string>& touched);
  bool Refresh(Time now);
  void JudgeAll(Time now, std::vector<Member>* changes);

  Settings settings_;
  std::size_t authority_ = 0;
  std::vector<View> views_;
  std::map<std::string_view, Believed> believed_;  // keyed by the member's own name
  std::map<std::string, MemberPtr> held_;          // as they were before their departure
  std::deque<std::pair<Time, std::string>> departures_;
  std::size_t ready_ = 0;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_LEDGER_H_
