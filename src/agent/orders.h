// SPDX-License-Identifier: Apache-2.0
//
// Orders to a fleet of instances: the pure core of badgerbridge-agent. Events and the time go in, actions
// come out; there is no socket, clock, file or process here, and a Fleet is a value that can be copied,
// stored and read back.
//
// What holds at every moment (tests/agent/orders_random_test.cpp checks it at each step):
// - An instance is worked on by one order at most. An order that would touch what an open order holds is a
// conflict,
//   unless it supersedes: then the other hands the instance over between two steps, and begins no further
//   instance.
// - An order id is carried out once, however often it is submitted.
// - Every part of an accepted order ends once, by its deadline and what ending a step takes, and stays as it
// ended.
// - An instance is started only while it is known not to run; SIGKILL comes only by an order's force_after,
// and
//   kAnswerTime after the process's SIGTERM at the earliest.
#ifndef BADGERBRIDGE_AGENT_ORDERS_H_
#define BADGERBRIDGE_AGENT_ORDERS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace badgerbridge::agent {

// Since some moment that all agents of one boot of the machine agree on (CLOCK_MONOTONIC); only advances.
using Time = std::chrono::milliseconds;

enum class Verb { kStart, kStop, kDrain, kUndrain, kReload, kRestart, kApply };
std::string_view Name(Verb verb);
std::optional<Verb> ParseVerb(std::string_view name);

struct Order {
  std::string id;  // its author's; the same order sent again has the same
  Verb verb = Verb::kStart;
  std::vector<std::string> instances;
  std::string who;
  std::uint64_t against = 0;  // the generation that its author saw; 0: whatever it is now
  bool supersede = false;
  Time deadline{30000};  // of each instance, from its first step
  // Of each instance: then it is killed, if the order would end its process; not sooner than kAnswerTime
  // after SIGTERM, which it gets now at the latest.
  std::optional<Time> force_after;
  unsigned at_most = 0;  // instances at once, halting at the first that fails; 0: all, and no halt
  // kApply: what each instance shall be from here on, opaque here; empty: it shall be no more.
  std::map<std::string, std::string> definitions;
};

constexpr std::size_t kMostInstances = 256, kMostOrders = 200, kMostId = 64;
constexpr Time kMostDeadline{3600000};
// From SIGTERM on, a proxy may need as long for what it has taken: it accepts for 0.7 s, and a request's
// deadline is 3 s at most.
constexpr Time kAnswerTime{3700};

// What an instance said of itself (a proxy's /v1/status).
struct Observation {
  std::string state;  // starting, ready, draining, drained, stopping
  std::uint64_t open = 0, connections = 0, reloads_applied = 0, reloads_refused = 0;
  std::string reload_error;
};

// How one instance fares under one order.
enum class Result { kWaiting, kRunning, kDone, kFailed, kSuperseded, kNotBegun };
std::string_view Name(Result result);
constexpr bool Final(Result result) { return result != Result::kWaiting && result != Result::kRunning; }

enum class Step {
  kSpawn,
  kAwaitReady,
  kCallDrain,
  kAwaitDrained,
  kCallUndrain,
  kTerminate,
  kNoteReloads,
  kHangUp,
  kAwaitReloaded,
  kDefine,
  kForget,
};

struct Part {
  std::string instance;
  std::vector<Step> steps;
  std::size_t at = 0;
  Result result = Result::kWaiting;
  Time began{0}, step_began{0}, ended{0};
  std::string text;                                        // of a final result: what happened
  std::string last_try;                                    // why the step's newest try failed
  bool issued = false;                                     // the step's action is out, or was for a wait
  bool forced = false;                                     // killed by force_after
  Time retry_at{0};                                        // of the step's action
  std::uint64_t reloads_applied = 0, reloads_refused = 0;  // before the signal
};

struct OrderState {
  Order order;
  std::uint64_t generation = 0;
  std::int64_t accepted_unix_ms = 0;  // for people
  Time accepted{0};
  std::vector<Part> parts;
  std::string superseded_by;  // it begins no further instance
  bool halted = false;        // nor here
  bool ended = false;
};

struct Instance {
  std::string name, definition;
  bool wanted = false;          // shall run
  bool wanted_drained = false;  // and be drained
  std::uint64_t changed = 0;    // generation of the newest order that named it
  std::string changed_by;       // that order's id
  // Of its process; not stored, but for the supervision.
  pid_t pid = 0;  // 0: does not run
  bool spawning = false, calling = false;
  Time spawned_at{0}, spawn_after{0}, call_after{0};
  std::optional<Time> terminated_at;  // the first SIGTERM that this agent sent to it
  int deaths = 0;                     // in a row, each soon after its start
  std::string last_end;               // how it last ended
  std::string gave_up;                // why it is not started again
  std::optional<Observation> seen;
  Time seen_at{0}, silent_since{0};
  std::string silent;  // why there is no answer, since silent_since
};

// ---- events -------------------------------------------------------------------------------------------
struct Spawned {
  std::string instance;
  pid_t pid = 0;  // 0: it failed
  std::string error;
};
struct Adopted {  // found running where a start was to make it
  std::string instance;
  pid_t pid = 0;
};
struct Exited {
  std::string instance;
  std::string how;  // "exited with 1", "was killed by signal 9"
};
struct Observed {
  std::string instance;
  Observation observation;
  Time asked{0};  // no older than this
};
struct Silent {
  std::string instance;
  std::string why;
};
struct CallEnded {
  std::string instance;
  std::string error;  // empty: it was taken
};
struct Tick {};
using Event = std::variant<Spawned, Adopted, Exited, Observed, Silent, CallEnded, Tick>;

// ---- actions ------------------------------------------------------------------------------------------
struct Spawn {
  std::string instance, definition;
};
struct Call {  // ends with one CallEnded
  std::string instance;
  bool drain = false;  // else undrain
  Time deadline{0};
};
struct Signal {
  std::string instance;
  int number = 0;
};
using Action = std::variant<Spawn, Call, Signal>;

// What became of a submitted order.
struct Verdict {
  enum class Kind { kAccepted, kKnown, kConflict, kStale, kUnknownInstance, kBad };
  Kind kind = Kind::kAccepted;
  std::string text;   // what won, whose it was, and how to go on
  std::string order;  // the one in the way, or the known one
};

struct Supervision {
  Time first_backoff{200}, most_backoff{10000};
  Time short_life{10000};  // a process that ended sooner died at once
  int most_deaths = 5;     // in a row; then it is given up
};

class Fleet {
 public:
  explicit Fleet(std::uint64_t seed = 1, Supervision supervision = {})
      : random_(seed), supervision_(supervision) {}

  // A new instance, not wanted yet; for the first fleet file. False if there is one of this name, or no room.
  bool Add(const std::string& name, const std::string& definition, bool wanted);

  // What would become of the order; nothing changes.
  Verdict Judge(const Order& order) const;
  // Judges it, and takes it if it may be.
  Verdict Submit(Time now, std::int64_t unix_ms, const Order& order, std::vector<Action>* actions);
  void Handle(Time now, const Event& event, std::vector<Action>* actions);

  const std::map<std::string, Instance>& instances() const { return instances_; }
  const std::vector<OrderState>& orders() const { return orders_; }  // by generation; the newest last
  const OrderState* FindOrder(const std::string& id) const;
  std::uint64_t generation() const { return generation_; }
  // What a part that is not final is doing, without the time.
  std::string Doing(const OrderState& order, const Part& part) const;
  // One word for people and selectors: stopped, spawning, starting, ready, draining, drained, stopping,
  // backoff, failed, silent.
  static std::string_view StateOf(const Instance& instance);
  // Whether it waits for what only asking tells: ask soon.
  bool Eager(const std::string& instance) const;
  // When the next Tick is due at the latest; nothing: no time matters.
  std::optional<Time> NextWake(Time now) const;

  // ---- to store: the records that changed since the last call, as JSON texts; nothing of processes is in
  // them.
  std::vector<std::string> TakeChanges();
  std::vector<std::string> Everything() const;
  // Reads one back, over what there is. Throws std::exception if it is no record.
  void Restore(std::string_view record);
  // After the last record: ends nothing, but what was in the midst of a step takes it up again. On another
  // boot than that of the records, their times mean nothing, and what is open counts from now.
  // `running`: the instances that were found to run; all at once, or those not named yet would be started
  // again.
  void Restored(Time now, bool same_boot, const std::map<std::string, pid_t>& running);

 private:
  Instance* Find(const std::string& name);
  OrderState* Open(const std::string& id);
  void On(Time now, const Spawned& e);
  void On(Time now, const Adopted& e);
  void On(Time now, const Exited& e);
  void On(Time now, const Observed& e);
  void On(Time now, const Silent& e);
  void On(Time now, const CallEnded& e);
  void On(Time, const Tick&) {}
  Part* Running(const std::string& instance, OrderState** order = nullptr);
  const Part* Running(const std::string& instance) const;
  void Died(Time now, Instance& instance, std::string how);
  void Advance(Time now, std::vector<Action>* actions);
  void AdvanceOrder(Time now, OrderState& order, std::vector<Action>* actions);
  // One step further; false if the step's end is not there yet.
  bool Work(Time now, OrderState& order, Part& part, std::vector<Action>* actions);
  void Supervise(Time now, Instance& instance, std::vector<Action>* actions);
  void Finish(Time now, OrderState& order, Part& part, Result result, std::string text);
  void StartProcess(Instance& instance, std::vector<Action>* actions);
  bool MayHandOver(const Part& part) const;
  std::optional<Time> ForceAt(const OrderState& order, const Part& part) const;
  void Forget();
  std::string Record(const Instance& instance) const;
  std::string Record(const OrderState& order) const;

  std::map<std::string, Instance> instances_;
  std::vector<OrderState> orders_;
  std::uint64_t generation_ = 0;
  std::mt19937_64 random_;
  Supervision supervision_;
  std::set<std::string> changed_instances_, changed_orders_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_ORDERS_H_
