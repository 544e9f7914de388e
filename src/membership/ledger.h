// SPDX-License-Identifier: Apache-2.0
//
// Who the converters are: what each source says, what this proxy believes and why. Pure: reports and the time
// go in, changes come out. docs/etcd.md has the rules in words; in short, for a converter of one name and
// start time:
//
// - It is ready only if the authority says so. Others cannot bring one in, nor bring one back.
// - A drain or a departure counts at once, whichever current source tells it.
// - What a source said loses its force only once that source is stale and the authority is current. Silence
// empties
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

// A converter, in discovery's terms.
struct Member {
  std::string name, address, zone, kind;
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

// What one source told.
struct Report {
  std::size_t source = 0;
  std::uint64_t epoch = 0;    // which history the version counts in, such as etcd's cluster id
  std::uint64_t version = 0;  // of the list after this
  bool whole = false;         // the whole list: what it does not name is gone
  // It cannot be behind what is committed (a linearizable read): a lower version means that history was
  // rewound.
  bool certain = false;
  std::vector<Member> members;
  // Of a whole list: names that it holds too, with what can't be read. What was last known of them stays.
  std::vector<std::string> unreadable = {};
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

struct Settings {
  std::vector<SourceSettings> sources;
  double most_departures = 0.5;  // of the members believed ready, within the window; 1: never held
  Time departures_window{2000};
  std::size_t least_departures = 3;  // fewer are never held
};

constexpr std::size_t kMostMembers = 100000, kMostProblems = 64;

class Ledger {
 public:
  explicit Ledger(Settings settings);

  // False: the report is older than what the source has told, or beyond the bounds, and changes nothing. What
  // is believed now differs from before by the members in `changes`, gone ones included; a member never
  // appears twice.
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
  // What a source says of a member; null: nothing.
  const Member* Says(std::size_t source, const std::string& name) const;

 private:
  struct View {
    bool told = false;
    std::uint64_t epoch = 0, version = 0;
    Time heard{0};
    // Keyed by the member's own name. A state kGone is the memory of a departure that it told.
    std::map<std::string_view, MemberPtr> members;
    std::deque<std::pair<Time, std::string>> graves;  // those, the oldest first
    std::map<std::string, std::string> problems;
    Freshness freshness = Freshness::kNever;  // as last acted on
  };

  bool Apply(Time now, View& view, const Report& report, std::set<std::string>* touched);
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
