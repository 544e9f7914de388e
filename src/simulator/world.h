// SPDX-License-Identifier: Apache-2.0
//
// The whole installation in virtual time: clients, a front, proxies with the product's own core, a network,
// backends and discovery, from one seed on one queue. docs/simulator.md says what is modelled and what is
// left out.
#ifndef BADGERBRIDGE_SIMULATOR_WORLD_H_
#define BADGERBRIDGE_SIMULATOR_WORLD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "simulator/core.h"
#include "simulator/event_queue.h"
#include "simulator/histogram.h"
#include "simulator/members.h"
#include "simulator/model.h"
#include "simulator/random.h"
#include "simulator/referee.h"

namespace badgerbridge::simulator {

// Of first tries and their worth: each is in exactly one of served, refused, failed, left, unreached and
// cut_short once the run has ended. A client that comes again after a refusal or a failure is one still.
struct ClassResult {
  std::uint64_t asked = 0, served = 0, in_aim = 0, refused = 0, failed = 0, left = 0;
  std::uint64_t unreached = 0;  // no proxy took it
  std::uint64_t cut_short = 0;  // its proxy died
  std::uint64_t tries = 0;
  std::uint64_t attempts = 0, crossed = 0, far = 0;  // of these, to another zone; to another region
  double worth_asked = 0, worth_served = 0;
  Histogram latency;  // of those served, from the first try on
};

struct Result {
  std::vector<ClassResult> classes;
  std::uint64_t steps = 0, attempts = 0, repeats_dropped = 0;
  double length = 0;         // ms of virtual time, to the last event
  std::vector<double> busy;  // of each backend: its slots' time in use, a share of all
  std::uint64_t digest = 0;  // of every event that a client or backend saw, in order
  std::optional<Breach> breach;
  SlowStartShares slow_start;  // the worst of all backends
  double worth_share() const;
};

class World final : private Actor, private Backend::Watcher {
 public:
  World(const Model& model, std::uint64_t seed, CoreFactory factory = MakeBadgerbridge,
        std::uint64_t tie_seed = 0);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Plays the load to its end, and what is open then; stops at the first breach, or after `most_steps`.
  Result Run(std::uint64_t most_steps = UINT64_MAX);
  const Members* members() const { return members_.get(); }

 private:
  enum What : std::uint32_t {
    kArrive,
    kTryAgain,
    kReachProxy,
    kAnswered,
    kTimeUp,
    kLeave,
    kReachBackend,
    kAttemptEnds,
    kAttemptTimesOut,
    kWake,
    kListArrives,
    kHappen,
    kNoticed
  };
  struct Proxy;
  struct Attempt;
  struct Intent;

  void On(TimePoint now, std::uint32_t what, std::uint64_t a, std::uint64_t b) override;
  void Began(TimePoint now, std::size_t backend, JobId job) override;
  void Finished(TimePoint now, std::size_t backend, JobId job, bool right) override;
  void Dropped(TimePoint now, std::size_t backend, JobId job) override;

  // world.cpp: the course of a run.
  void StartBackends();
  void StartMembers();
  void CheckTotals();
  void Forget(std::uint64_t attempt);
  void Release(std::uint64_t trace);
  void Digest(std::uint64_t word);

  // world_clients.cpp
  void Arrive(TimePoint now);
  void Try(TimePoint now, std::uint64_t intent);
  void Ended(TimePoint now, std::uint64_t trace, request_table::RequestOutcome outcome, double retry_after);
  void Again(TimePoint now, std::uint64_t intent, double retry_after, request_table::RequestOutcome outcome);
  void TimeUp(TimePoint now, std::uint64_t trace);
  void ClientLeaves(TimePoint now, std::uint64_t trace);
  int PickProxy(int zone);

  // world_proxies.cpp
  void ReachProxy(TimePoint now, std::uint64_t trace);
  void Carry(TimePoint now, std::size_t proxy);
  void Send(TimePoint now, std::size_t proxy, const request_table::Send& send);
  void DeliverChange(TimePoint now, std::size_t proxy, std::uint64_t change);
  void Wake(TimePoint now, std::size_t proxy, std::uint64_t incarnation);
  void Kill(TimePoint now, std::size_t proxy);
  void Revive(TimePoint now, std::size_t proxy);
  void Noticed(std::size_t proxy);
  void EndAttempt(TimePoint now, std::uint64_t attempt, balancer::Outcome outcome);

  // world_backends.cpp: backends, network and discovery.
  void ReachBackend(TimePoint now, std::uint64_t attempt);
  void Leaves(TimePoint now, JobId job, balancer::Outcome outcome);
  bool Cut(int from_zone, int to_zone) const;
  double Latency();
  double Between(int zone, int other);
  std::vector<double> Warm(TimePoint now) const;
  void List(TimePoint now, std::size_t backend, balancer::BackendState state);

  // world_happenings.cpp: the scenario's timetable.
  void Happen(TimePoint now, const Happening& what);
  void CutZones(const Happening& what);
  void OrderZones(const Happening& what);
  void HoldLists(TimePoint now, bool stale);
  void HappenToShare(TimePoint now, const Happening& what);
  void HappenToBackend(TimePoint now, const Happening& what, std::size_t backend);

  const Model model_;
  const std::uint64_t seed_;
  const CoreFactory factory_;
  EventQueue queue_;
  Referee referee_;
  Random arrivals_, works_, network_, lists_, clients_;
  std::vector<double> class_shares_;  // running sums
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<Proxy> proxies_;
  std::vector<std::vector<std::uint32_t>> fronts_;  // of each zone: the proxies that it deals to
  std::vector<balancer::BackendEntry> changes_;     // all that discovery wrote, in order
  std::vector<balancer::BackendEntry> listed_;      // as discovery has it now
  std::vector<std::pair<std::size_t, std::uint64_t>> held_back_;  // while lists are stale: whom, and what
  std::unordered_map<std::uint64_t, Trace> traces_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::unordered_map<std::uint64_t, Intent> intents_;
  std::vector<bool> cut_in_, cut_out_;  // zones: nothing comes in, nothing leaves
  std::unique_ptr<Members> members_;    // none: nobody decides how much goes to each zone
  bool stale_lists_ = false;
  double load_ = 1;
  std::uint64_t next_trace_ = 0, next_attempt_ = 0, next_intent_ = 0;
  Result result_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_WORLD_H_
