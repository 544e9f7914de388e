// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Orders of an operator to instances, and their progress for each instance. Plain values without I/O.
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

/// Time since the boot of the machine (CLOCK_MONOTONIC). Valid for all agents of one boot; never decreases.
using Time = std::chrono::milliseconds;

/// The operation that an order requests. The values index the wire names in order_codec.cpp.
enum class Verb {
  kStart = 0,    ///< run the process, and accept requests
  kStop = 1,     ///< end the process
  kDrain = 2,    ///< finish open requests, and accept no more
  kUndrain = 3,  ///< accept requests again
  kReload = 4,   ///< reload the configuration
  kRestart = 5,  ///< drain, end and start the process
  kApply = 6,    ///< add, change or remove instances, to match a fleet file
};

/// Definitions of instances as JSON texts (SerializeDefinition), by the instance's name.
using DefinitionTexts = std::map<std::string, std::string>;

constexpr std::size_t kMaxInstances = 256;     ///< per agent, and per order
constexpr std::size_t kMaxOrders = 200;        ///< remembered orders; at most half of them may be open
constexpr std::size_t kMaxOrderIdLength = 64;  ///< bytes
constexpr Time kMaxDeadline{3600000};          ///< of each instance of an order

/// The minimum time between SIGTERM and SIGKILL. A proxy accepts requests for 0.7 s after SIGTERM, and the
/// deadline of a request is at most 3 s.
constexpr Time kTerminationGracePeriod{3700};

/// An order as submitted.
struct Order {
  std::string id;                         ///< idempotency key, chosen by the author
  Verb verb = Verb::kStart;               ///< requested operation
  std::vector<std::string> instances;     ///< names, each once
  std::string author;                     ///< peer that submitted the order
  std::uint64_t expected_generation = 0;  ///< generation that the author saw; 0: not checked
  bool supersede = false;                 ///< takes over instances of open orders
  Time deadline{30000};                   ///< of each task, from its first step
  /// Time from the first step of a task to SIGKILL, for orders that end the process. At that time the drain
  /// is cut short and SIGTERM is sent if it was not sent yet. SIGKILL follows kTerminationGracePeriod after
  /// SIGTERM at the earliest. nullopt: no SIGKILL.
  std::optional<Time> force_after;
  /// Maximum number of running tasks; the order halts at the first failed task. 0: no limit and no halt.
  unsigned max_parallel = 0;
  /// For Verb::kApply: the new definition of each instance; an empty one removes the instance.
  DefinitionTexts definitions;
};

/// The state of a task.
enum class TaskState {
  kPending = 0,     ///< not started
  kRunning = 1,     ///< executing a step
  kSucceeded = 2,   ///< all steps completed
  kFailed = 3,      ///< InstanceTask::message has the reason
  kSuperseded = 4,  ///< another order took over the instance
  kSkipped = 5,     ///< not started because the order halted
};

/// Whether the state is final.
constexpr bool IsTerminal(TaskState state) {
  return state != TaskState::kPending && state != TaskState::kRunning;
}

/// One step of a task. The values are stored on disk: existing ones must not change, new ones are appended.
enum class Step {
  kStartProcess = 0,      ///< set the instance to desired running, and wait for its process
  kAwaitReady = 1,        ///< wait until the instance reports "ready"
  kCallDrain = 2,         ///< call the instance to drain
  kAwaitDrained = 3,      ///< wait until the instance reports "drained"
  kCallUndrain = 4,       ///< call the instance to undrain
  kTerminate = 5,         ///< send SIGTERM, and wait until the process ends
  kReadReloadCounts = 6,  ///< record the reload counts of the instance
  kSignalReload = 7,      ///< send SIGHUP
  kAwaitReloaded = 8,     ///< wait until the instance reports another reload
  kUpdateDefinition = 9,  ///< replace the definition by that of the order
  kRemoveInstance = 10,   ///< remove the instance from the fleet
};

/// The work of one order on one instance: its steps and progress.
struct InstanceTask {
  std::string instance;                   ///< name
  std::vector<Step> steps;                ///< all steps, in order of execution
  std::size_t step_index = 0;             ///< current step; steps.size(): all completed
  TaskState state = TaskState::kPending;  ///< does not change once IsTerminal()
  Time started_at{0};                     ///< start of the first step; 0: not started
  Time step_started_at{0};                ///< start of the current step
  Time ended_at{0};                       ///< when the state became terminal
  std::string message;                    ///< readable text: notes while it runs, then the outcome
  std::string last_call_error;            ///< error of the latest attempt of the current step's call
  bool action_sent = false;               ///< the action of the current step was issued
  bool killed = false;                    ///< SIGKILL was sent because of force_after
  Time retry_at{0};                       ///< earliest next attempt of the current step's call
  std::uint64_t reloads_applied = 0;      ///< count of the instance before SIGHUP
  std::uint64_t reloads_rejected = 0;     ///< count of the instance before SIGHUP
};

/// An accepted order and its progress.
struct OrderState {
  Order order;                        ///< as submitted
  std::uint64_t generation = 0;       ///< fleet generation created by this order
  std::int64_t accepted_unix_ms = 0;  ///< wall clock, for display only
  Time accepted_at{0};                ///< monotonic time of the acceptance
  std::vector<InstanceTask> tasks;    ///< one per instance, in the order of Order::instances
  std::string superseded_by;          ///< id of the superseding order; no further task begins
  bool halted = false;                ///< a task failed; no further task begins
  bool ended = false;                 ///< all tasks are in a terminal state
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_ORDER_H_
