// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The pure core of the agent: carries out orders and supervises a fleet of instances. Its inputs are events
/// and the time, its outputs are actions. It uses no socket, clock, file or process. A FleetController is a
/// value: it can be copied, stored and restored.
///
/// Invariants (checked at each step by tests/agent/fleet_controller_random_test.cpp):
/// - At most one order works on an instance. An order that names an instance of an open order is a conflict
///   unless it supersedes that order. A superseded order hands its instances over between two steps and
///   begins no further instance.
/// - An order id is carried out once, however often it is submitted.
/// - Every task of an accepted order ends once, at the latest at its deadline plus the time to end its step.
///   Its outcome never changes.
/// - An instance is started only when it has no process. SIGKILL is sent only as specified by force_after,
///   and at the earliest kTerminationGracePeriod after the SIGTERM of the process.
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

/// Orders, instances and their supervision; see the invariants above. Not thread-safe.
class FleetController {
 public:
  /// `seed` initializes the jitter of the restart backoff.
  explicit FleetController(std::uint64_t seed = 1, const RestartPolicy& policy = {})
      : supervisor_(seed, policy) {}

  /// Adds an instance of the initial fleet file. Returns false if the name exists or kMaxInstances is
  /// reached.
  bool AddInstance(const std::string& name, const std::string& definition, bool desired_running) {
    return state_.AddInstance(name, definition, desired_running);
  }

  /// The result that Submit() would have; changes nothing.
  ValidationResult Validate(const Order& order) const { return ValidateOrder(state_, order); }
  /// Validates the order, and begins it if it is accepted. `unix_ms` is the wall clock, for display only.
  /// Appends to `actions`, nothing if the order is rejected.
  ValidationResult Submit(Time now, std::int64_t unix_ms, const Order& order, std::vector<Action>* actions);
  /// Handles one event and advances orders and supervision. Appends to `actions`.
  void Handle(Time now, const Event& event, std::vector<Action>* actions);

  /// All instances, by name.
  const std::map<std::string, Instance>& instances() const { return state_.instances; }
  /// All remembered orders by generation, the newest last.
  const std::vector<OrderState>& orders() const { return state_.orders; }
  /// The newest order of this id; nullptr if there is none.
  const OrderState* FindOrder(const std::string& id) const { return state_.FindOrder(id); }
  /// The generation of the newest accepted order; 0 before the first one.
  std::uint64_t generation() const { return state_.generation; }
  /// A readable text of the current step of a task, without its duration.
  std::string DescribeStep(const OrderState& order, const InstanceTask& task) const;
  /// Whether an order or the start of the instance waits for an observation, so that it must be polled soon.
  bool NeedsFrequentPolling(const std::string& instance) const;
  /// The latest time of the next Tick; nullopt if nothing depends on time.
  std::optional<Time> NextWakeup(Time now) const;

  /// The records to store: those that changed since the last call (order_codec.h).
  std::vector<std::string> TakeChanges();
  /// All records, for a compaction of the state file.
  std::vector<std::string> AllRecords() const;
  /// Restores one record, replacing an older one. Fails with AgentErrorKind::kInvalidRecord if it is
  /// malformed.
  Result<void> RestoreRecord(std::string_view record);
  /// Must be called once after the last record. No task ends; an interrupted step is started again. Stored
  /// times are invalid after a reboot (`same_boot` is false), so the times of orders and tasks then restart
  /// at `now`. `running` maps the names of all instances found running to their pids; other desired instances
  /// are started again.
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
  /// Marks the call of the instance as ended. Returns the running task if the call belongs to its current
  /// step, else no task.
  RunningTask CompleteCall(Time now, const std::string& instance);
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
