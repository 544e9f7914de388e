// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// An operator's order to instances, and the progress of each instance under it. Plain values; nothing here
/// does I/O.
#ifndef BADGERBRIDGE_AGENT_ORDER_H_
#define BADGERBRIDGE_AGENT_ORDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace badgerbridge::agent {

/// Time since the boot of the machine (CLOCK_MONOTONIC), the same for all agents of one boot; only advances.
using Time = std::chrono::milliseconds;

/// What an order asks of its instances. The values index the wire names in order_codec.cpp.
enum class Verb {
  kStart = 0,    ///< run the process, and take work
  kStop = 1,     ///< end the process
  kDrain = 2,    ///< finish the work, and take no more
  kUndrain = 3,  ///< take work again
  kReload = 4,   ///< read the configuration again
  kRestart = 5,  ///< drain, end and start the process
  kApply = 6,    ///< add, change or remove instances, to match a fleet file
};

/// Definitions of instances as JSON texts (SerializeDefinition), by the instance's name.
using DefinitionTexts = std::map<std::string, std::string>;

constexpr std::size_t kMaxInstances = 256;     ///< instances of one agent, and of one order
constexpr std::size_t kMaxOrders = 200;        ///< orders remembered; half of them may be open
constexpr std::size_t kMaxOrderIdLength = 64;  ///< bytes
constexpr Time kMaxDeadline{3600000};          ///< of one instance under an order

/// The least time between SIGTERM and SIGKILL. A proxy accepts for 0.7 s after SIGTERM, and a request's
/// deadline is 3 s at most.
constexpr Time kTerminationGracePeriod{3700};

/// An order as its author submits it.
struct Order {
  std::string id;                         ///< chosen by the author; the same order sent again has the same
  Verb verb = Verb::kStart;               ///< what is asked
  std::vector<std::string> instances;     ///< names, each once
  std::string author;                     ///< the peer that submitted it
  std::uint64_t expected_generation = 0;  ///< the generation its author saw; 0: any
  bool supersede = false;                 ///< takes over instances that other orders hold
  Time deadline{30000};                   ///< of each instance, from its first step
  /// Of each instance: when its process is killed, if the order ends the process; not sooner than
  /// kTerminationGracePeriod after SIGTERM, which is sent now at the latest.
  std::optional<Time> force_after;
  /// Instances worked on at once; the order then halts at the first that fails. 0: all, and no halt.
  unsigned max_parallel = 0;
  /// Of Verb::kApply: the new definition of each instance; an empty one removes the instance.
  DefinitionTexts definitions;
};

/// How one instance fares under one order.
enum class TaskState {
  kPending = 0,     ///< not begun yet
  kRunning = 1,     ///< at one of its steps
  kSucceeded = 2,   ///< all steps are done
  kFailed = 3,      ///< InstanceTask::message says why
  kSuperseded = 4,  ///< another order took the instance over
  kSkipped = 5,     ///< never begun, since the order halted
};

/// Whether a task in this state has ended for good.
constexpr bool IsTerminal(TaskState state) {
  return state != TaskState::kPending && state != TaskState::kRunning;
}

/// One step of a task. The values are stored: they never change, and new ones are added at the end.
enum class Step {
  kStartProcess = 0,      ///< mark the instance as desired, and wait until its process runs
  kAwaitReady = 1,        ///< wait until the instance reports "ready"
  kCallDrain = 2,         ///< tell the instance to drain
  kAwaitDrained = 3,      ///< wait until the instance reports "drained"
  kCallUndrain = 4,       ///< tell the instance to take work again
  kTerminate = 5,         ///< send SIGTERM, and wait for the end of the process
  kReadReloadCounts = 6,  ///< note how often the instance has reloaded so far
  kSignalReload = 7,      ///< send SIGHUP
  kAwaitReloaded = 8,     ///< wait until the instance reports one more reload
  kUpdateDefinition = 9,  ///< put the order's definition in force
  kRemoveInstance = 10,   ///< forget the instance
};

/// One instance under one order: the steps to take, and how far it has come.
struct InstanceTask {
  std::string instance;                   ///< name
  std::vector<Step> steps;                ///< all steps, in order
  std::size_t step_index = 0;             ///< of the current step; steps.size(): all are done
  TaskState state = TaskState::kPending;  ///< final once IsTerminal
  Time started_at{0};                     ///< when its first step began; 0: never
  Time step_started_at{0};                ///< when the current step began
  Time ended_at{0};                       ///< when its state became terminal
  std::string message;                    ///< for people: notes while it runs, the outcome once it has ended
  std::string last_call_error;            ///< why the newest attempt of the current step's call failed
  bool action_sent = false;               ///< the current step's action has been issued
  bool killed = false;                    ///< SIGKILL was sent, as force_after allows
  Time retry_at{0};                       ///< when the current step's call may be attempted again
  std::uint64_t reloads_applied = 0;      ///< by the instance before SIGHUP
  std::uint64_t reloads_rejected = 0;     ///< by the instance before SIGHUP
};

/// An accepted order and its progress.
struct OrderState {
  Order order;                        ///< as submitted
  std::uint64_t generation = 0;       ///< that the order made
  std::int64_t accepted_unix_ms = 0;  ///< wall clock, for people only
  Time accepted_at{0};                ///< by this agent's clock
  std::vector<InstanceTask> tasks;    ///< one for each instance, in the order's order
  std::string superseded_by;          ///< id of the order that took over; no further task begins
  bool halted = false;                ///< a task failed; no further task begins
  bool ended = false;                 ///< all tasks are in a terminal state
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_ORDER_H_
