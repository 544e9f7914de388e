// SPDX-License-Identifier: Apache-2.0
//
// What the member that holds the decider's lease makes of all members' evidence: the next decision, or none.
// Pure; docs/zone_failover.md has the reasons.
//
// The invariant, whatever members hold whichever epoch, are deaf, stopped or dead: what all of them together
// may send to a zone, beside what the clients of a sound zone ask of its own members, stays within that
// zone's limit. So a grant grows only into what nobody may still go by: each member counts with the most that
// any epoch gives it from the one that it has confirmed on, and one that vanished until its time has run out.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_DECIDER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_DECIDER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "zone_failover/decision.h"

namespace badgerbridge::zone_failover {

struct Rules {
  std::size_t zones = 1;
  Matrix round_trip;  // ms, by origin and receiver
  Matrix price;       // of work that crosses, in any unit; what is nearer comes first where prices are alike
  double latency_objective = 500;  // ms, within which answers are wanted
  // A member's word counts for so long after its lease has ended, by its own clock; the decider waits for
  // that by its own, which may differ by `drift` of the time.
  Duration hold{5000};
  double drift = 0.01;
  Duration forget{600000};  // after so long a member that lost touch goes by nothing but its own zone
  Duration step{400};       // between two steps of what a zone earns
};

struct MemberReport {
  std::string member;
  std::int64_t created = 0;  // revision at which its key was made: which of its incarnations
  Evidence evidence;
};

// All keys, as of one revision.
struct Snapshot {
  std::int64_t revision = 0;
  std::vector<MemberReport> reports;
  std::optional<Decision> decision;
  std::vector<std::string> evacuated;  // by zone: by whom it is ordered; empty: it is not
};

class Decider {
 public:
  explicit Decider(Rules rules);

  // The lease has just been won: what was known from an earlier time does not count.
  void Reset();

  // What is to be written over the snapshot's decision, if anything. Its epoch is one more. If it is not
  // written, nothing of it counts: the next call begins from what is there.
  std::optional<Decision> Decide(TimePoint now, const Snapshot& snapshot, const std::string& self);

  std::size_t epochs() const { return history_.size(); }  // that are kept apart; bounded

 private:
  struct Observation {  // of a zone, over all members' words
    double attempts = 0, served = 0, slow = 1, latency = 0, used = -1;
    double cold = 1;                            // times that it is slower for the backends that just started
    double warm = 0;                            // warm backends' worth, as members' lists have it
    int origins = 0, failing = 0, slow_at = 0;  // places that speak of it, say that it fails, that it is slow
    bool well_at_home = false;                  // by the word of its own members
    std::string who;                            // the places that speak against it, for people
  };
  struct Pair {
    double attempts = 0, bad = 0, slow = 0, timed = 0;
    int witnesses = 0;
    bool shut = false;  // fails from this origin, and was not tried again yet
    TimePoint until{};
    Duration wait{0};
  };
  struct ZoneStatus {  // a zone's
    ZoneState state = ZoneState::kSound;
    double shown = 0, limit = 0;
    double each = 0;               // of it, by one warm backend's worth; 0: not known
    double most_warm = 0;          // warm backends' worth that it had lately
    double of_warm = 0, warm = 0;  // warm backends' worth that showed it; that is there now
    double asked = 0;              // of its members, when all of them were last there
    double peak = 0;               // of it, lately
    double relapses = 0;           // halved by kRelapseMemory
    TimePoint stepped{}, well_since{};
    bool well = false;
    std::string why;
  };
  struct Incarnation {
    int zone = 0;
    std::uint64_t epoch = 0;
    double demand = 0;
    bool inherits = false;          // one of its name was counted when it came
    std::uint64_t admitted_at = 0;  // the epoch from which on it may use grants; 0: it may not, yet
  };
  struct LostMember {
    std::string member;  // empty: not known; only that so many of its zone are missing
    int zone = 0;
    std::uint64_t epoch = 0;
    double demand = 0;               // that it had of clients
    TimePoint until{}, forgotten{};  // grants; standby
    std::vector<double> standby;     // the most that its zone's members might stand by with, by receiver
  };
  struct EpochGrants {
    std::uint64_t epoch = 0;
    Matrix slices;  // of one member
    Matrix standby;
  };
  // Members that may go by some epoch from `since` on.
  struct HolderGroup {
    std::size_t zone = 0;
    std::uint64_t since = 0;
    bool there = false;  // they will go by what is decided next, too
    bool sure = false;   // they do go by some epoch since then
    int count = 0;
  };

  struct Sums;
  struct Signs;
  struct Needs;

  // decider.cpp: the next decision.
  void Recover(TimePoint now, const Snapshot& snapshot);
  Decision Before(const Snapshot& snapshot) const;
  void Count(TimePoint now, const Snapshot& snapshot, const Decision& before, std::uint64_t oldest,
             Decision* next);
  bool HasNewMembers(const Snapshot& snapshot, const Decision& before) const;
  void Describe(TimePoint now, const Snapshot& snapshot, const std::vector<Observation>& seen,
                const std::vector<double>& demand, Decision* next) const;
  void AwaitRoom(TimePoint now, const Snapshot& snapshot, const Decision& before,
                 const std::vector<double>& demand, Decision* next);

  // decider_members.cpp: who is there, and who has vanished.
  void CountVanished(TimePoint now, const Snapshot& snapshot);
  void TrackMembers(TimePoint now, const Snapshot& snapshot);
  static bool Admits(const Decision& decision, const MemberReport& report);
  std::vector<HolderGroup> HolderGroups(TimePoint now, const Snapshot& snapshot, const Decision& next) const;
  std::vector<double> Demand(const Snapshot& snapshot);

  // decider_epochs.cpp: the epochs that may be in force.
  std::uint64_t TrackEpochs(TimePoint now, const Snapshot& snapshot);
  void MergeOldestEpochs();
  Matrix Ceiling() const;
  Matrix CeilingWith(const Decision& next);
  std::vector<double> StandbyOf(int zone) const;
  std::vector<Matrix> MostSince() const;
  std::size_t FirstOf(const HolderGroup& group) const;
  double MostOf(const std::vector<Matrix>& since, const HolderGroup& group, std::size_t r) const;
  double LeastOf(const std::vector<Matrix>& since, const HolderGroup& group, std::size_t r) const;

  // decider_zones.cpp: what members see of each zone, its state and its limit.
  Sums AddUp(const Snapshot& snapshot, std::vector<Observation>* seen) const;
  void ObservePair(TimePoint at, std::size_t o, std::size_t r, int members, Pair* pair,
                   Observation* seen) const;
  std::vector<Observation> Observe(TimePoint now, const Snapshot& snapshot);
  void LearnCapacity(TimePoint now, ZoneStatus* zone, const Observation& seen) const;
  static double Capacity(const ZoneStatus& zone);
  static Signs SignsOf(const ZoneStatus& zone, const Observation& seen);
  static void EnterState(TimePoint now, ZoneState state, double limit, std::string why, ZoneStatus* zone);
  static std::string Reason(const Observation& seen, const char* what);
  void UpdateZone(TimePoint now, std::size_t zone, const Observation& seen, const std::string& evacuated);
  void UpdateSound(TimePoint now, const Observation& seen, const Signs& signs, ZoneStatus* zone) const;
  void UpdateLimping(TimePoint now, const Observation& seen, const Signs& signs, ZoneStatus* zone) const;
  static void UpdateDark(TimePoint now, const Observation& seen, const Signs& signs, ZoneStatus* zone);
  void UpdateReturning(TimePoint now, const Observation& seen, const Signs& signs, ZoneStatus* zone) const;
  void GiveFirstRoom(const Snapshot& snapshot);

  // decider_grants.cpp: what each origin may ask of each receiver.
  std::vector<double> KeptByLost(const Decision& next) const;
  Needs NeedsOf(const std::vector<double>& demand, const std::vector<double>& kept) const;
  // Gives `want` of each origin to the nearest receivers that have room, and takes it off `room`.
  Matrix Spread(std::vector<double> want, std::vector<double>* room) const;
  Matrix Standby(const std::vector<double>& demand, double all, const std::vector<double>& room) const;
  void Allocate(const std::vector<double>& demand, const std::vector<HolderGroup>& holders, Decision* next);
  void Grow(const Matrix& wanted, const std::vector<double>& home, const std::vector<double>& most,
            const std::vector<HolderGroup>& holders, Decision* next) const;
  void GrowAt(std::size_t r, const Matrix& wanted, double home, double most, const std::vector<Matrix>& since,
              const std::vector<HolderGroup>& holders, const std::vector<int>& vanished,
              Decision* next) const;
  bool FallsBack(const Decision& other, const Decision& next) const;
  bool Worthwhile(TimePoint now, const Decision& before, const Decision& next) const;

  const Rules rules_;
  bool recovered_ = false;
  TimePoint written_at_{}, observed_at_{}, began_{}, waits_since_{};
  std::vector<ZoneStatus> zones_;
  std::vector<std::vector<Pair>> pairs_;  // by origin and receiver
  std::map<std::pair<std::string, std::int64_t>, Incarnation> incarnations_;
  std::vector<LostMember> lost_members_;         // a vanished member each, until it is forgotten
  std::deque<EpochGrants> history_;              // of the epochs that may be in force
  bool merged_ = false;                          // its front is several of them
  std::uint64_t counted_epoch_ = 0;              // the first with the record's `counted`
  std::vector<std::vector<std::size_t>> order_;  // receivers of each origin, the nearest first
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_DECIDER_H_
