// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Orders to a fleet of instances: the pure core of the agent. Events and the time go in, actions come out;
/// there is no socket, clock, file or process here, and a FleetController is a value that can be copied,
/// stored and restored.
///
/// Invariants (checked at each step by tests/agent/fleet_controller_random_test.cpp):
/// - An instance is worked on by one order at most. An order that names an instance of an open order is a
///   conflict unless it supersedes; then the other order hands the instance over between two steps, and
///   begins no further instance.
/// - An order id is carried out once, however often it is submitted.
/// - Every task of an accepted order ends once, by its deadline and the time that ending a step takes, and
/// its
///   outcome never changes.
/// - An instance is started only while it is known not to run. SIGKILL is sent only as an order's force_after
///   says, and kTerminationGracePeriod after the process's SIGTERM at the earliest.
#ifndef BADGERBRIDGE_AGENT_FLEET_CONTROLLER_H_
#define BADGERBRIDGE_AGENT_FLEET_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/controller_events.h"
#include "agent/error.h"
#include "agent/fleet_state.h"
#include "agent/order_validation.h"
#include "agent/supervisor.h"

namespace badgerbridge::agent {

/// Carries out orders and supervises instances. Not thread-safe.
class FleetController {
 public:
  /// `seed` is of the jitter on restarts.
  explicit FleetController(std::uint64_t seed = 1, const RestartPolicy& policy = {})
      : supervisor_(seed, policy) {}

  /// Adds an instance; for the first fleet file. False if the name is taken or kMaxInstances is reached.
  bool AddInstance(const std::string& name, const std::string& definition, bool desired_running) {
    return state_.AddInstance(name, definition, desired_running);
  }

  /// What would become of the order; nothing changes.
  ValidationResult Validate(const Order& order) const { return ValidateOrder(state_, order); }
  /// Validates the order, and begins it if it is accepted. `unix_ms` is the wall clock, for people. Actions
  /// are appended to `actions`; none if the order is rejected.
  ValidationResult Submit(Time now, std::int64_t unix_ms, const Order& order, std::vector<Action>* actions);
  /// Takes one event in. Actions are appended to `actions`.
  void Handle(Time now, const Event& event, std::vector<Action>* actions);

  /// All instances, by name.
  const std::map<std::string, Instance>& instances() const { return state_.instances; }
  /// By generation, the newest last.
  const std::vector<OrderState>& orders() const { return state_.orders; }
  /// The newest order of this id; nullptr: there is none.
  const OrderState* FindOrder(const std::string& id) const { return state_.FindOrder(id); }
  /// Of the newest accepted order; 0: none was accepted yet.
  std::uint64_t generation() const { return state_.generation; }
  /// What a task is doing, in words for people, without the time.
  std::string DescribeStep(const OrderState& order, const InstanceTask& task) const;
  /// Whether an order or the start of the instance waits for what only a poll tells: poll soon.
  bool NeedsFrequentPolling(const std::string& instance) const;
  /// When the next Tick is due at the latest; nothing: no time matters.
  std::optional<Time> NextWakeup(Time now) const;

  /// The records that have changed since the last call, to be stored (order_codec.h).
  std::vector<std::string> TakeChanges();
  /// All records.
  std::vector<std::string> AllRecords() const;
  /// Reads one record back, over what there is. AgentErrorKind::kInvalidRecord if it is none.
  Result<void> RestoreRecord(std::string_view record);
  /// Called once after the last record. No task ends, but one in the midst of a step takes the step up again.
  /// On another boot than that of the records (`same_boot` false) stored times mean nothing, and open orders
  /// count from now. `running` is all instances that were found running, by name: one that it does not name
  /// is started again.
  void FinishRestore(Time now, bool same_boot, const std::map<std::string, pid_t>& running);

 private:
  void On(Time now, const Spawned& event);
  void On(Time now, const SpawnFailed& event);
  void On(Time now, const Adopted& event);
  void On(Time now, const Exited& event);
  void On(Time now, const Observed& event);
  void On(Time now, const Unresponsive& event);
  void On(Time now, const CallSucceeded& event);
  void On(Time now, const CallFailed& event);
  void On(Time now, const Tick& event);
  /// The running task whose call has ended; no task: the call was not of a task's step.
  RunningTask EndCall(Time now, const std::string& instance);
  void MarkSuperseded(const Order& order);
  void RecordOrder(Time now, std::int64_t unix_ms, const Order& order);
  void Advance(Time now, std::vector<Action>& actions);
  void AdvanceOrder(Time now, OrderState& order, std::vector<Action>& actions);
  unsigned ResumeTasks(Time now, OrderState& order, std::vector<Action>& actions);
  void BeginTasks(Time now, OrderState& order, unsigned running, std::vector<Action>& actions);
  void Supervise(Time now, Instance& instance, std::vector<Action>& actions);

  FleetState state_;
  Supervisor supervisor_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_FLEET_CONTROLLER_H_
