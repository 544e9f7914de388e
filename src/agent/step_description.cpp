// SPDX-License-Identifier: Apache-2.0
#include "agent/step_description.h"

#include "agent/order_codec.h"

namespace badgerbridge::agent {
namespace {

std::string InParentheses(const std::string& text) { return text.empty() ? "" : " (" + text + ")"; }

std::string DescribeStart(const Instance& instance) {
  if (instance.last_exit.empty() || instance.consecutive_crashes == 0) return "starting";
  return "starting again after it " + instance.last_exit;
}

std::string DescribeAwaitReady(const Instance& instance) {
  if (instance.pid == 0 && !instance.last_exit.empty())
    return "starting again after it " + instance.last_exit;
  return "waiting for it to be ready" + InParentheses(instance.unresponsive_reason);
}

/// The last error of the step's call in parentheses; empty if there is none.
std::string FormatCallError(const Instance& instance, const InstanceTask& task) {
  return InParentheses(task.last_call_error.empty() ? instance.unresponsive_reason : task.last_call_error);
}

std::string DescribeAwaitDrained(const Instance& instance) {
  if (!instance.unresponsive_reason.empty() || !instance.observation)
    return "draining" + InParentheses(instance.unresponsive_reason);
  return "draining (" + std::to_string(instance.observation->open_requests) + " requests open, " +
         std::to_string(instance.observation->connections) + " connections)";
}

std::string DescribeTerminate(const Instance& instance, const InstanceTask& task) {
  if (task.killed) return "waiting for its end after SIGKILL";
  return "waiting for its end after SIGTERM" + InParentheses(instance.unresponsive_reason);
}

}  // namespace

std::string DescribeStep(const FleetState& state, const OrderState& order, const InstanceTask& task) {
  if (IsTerminal(task.state)) return std::string(TaskStateName(task.state));
  if (task.state == TaskState::kPending || task.step_index >= task.steps.size())
    return "waiting for its turn";
  const Instance* instance = state.FindInstance(task.instance);
  if (!instance) return "waiting";
  switch (task.steps[task.step_index]) {
    case Step::kStartProcess:
      return DescribeStart(*instance);
    case Step::kAwaitReady:
      return DescribeAwaitReady(*instance);
    case Step::kCallDrain:
      return "telling it to drain" + FormatCallError(*instance, task);
    case Step::kCallUndrain:
      return "telling it to take work again" + FormatCallError(*instance, task);
    case Step::kAwaitDrained:
      return DescribeAwaitDrained(*instance);
    case Step::kTerminate:
      return DescribeTerminate(*instance, task);
    case Step::kReadReloadCounts:
      return "asking how often it has reloaded" + InParentheses(instance->unresponsive_reason);
    case Step::kSignalReload:
    case Step::kAwaitReloaded:
      return "waiting for it to reload" + InParentheses(instance->unresponsive_reason);
    case Step::kUpdateDefinition:
    case Step::kRemoveInstance:
      break;
  }
  return "changing its definition for order " + order.order.id;
}

std::string FormatSeconds(Time time) {
  const auto tenths = (time.count() + 50) / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

}  // namespace badgerbridge::agent
