// SPDX-License-Identifier: Apache-2.0
#include "agent/response_codec.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <map>
#include <string_view>
#include <utility>

#include "agent/clock.h"
#include "agent/instance_definition.h"
#include "agent/order_codec.h"

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;

std::string_view DesiredStateName(const Instance& instance) {
  if (!instance.desired_running) return "stopped";
  return instance.desired_drained ? "drained" : "running";
}

/// Adds the labels and the listen address of the definition; both are empty if it is malformed.
void AddDefinition(const Instance& instance, json::object& answer) {
  json::object labels;
  std::string listen;
  if (const Result<InstanceDefinition> definition = ParseDefinition(instance.definition)) {
    for (const auto& [key, value] : definition->labels) labels[key] = value;
    listen = definition->listen;
  }
  answer["labels"] = std::move(labels);
  answer["listen"] = listen;
}

void AddLatestStatus(const AgentRuntime& agent, const Instance& instance, Time now, json::object& answer) {
  const InstancePoller::LatestStatus* latest = agent.FindStatus(instance.name);
  if (!latest) return;
  answer["seen_ms_ago"] = (now - latest->requested_at).count();
  for (const char* key : {"uptime_ms", "version", "connections", "requests", "list", "drain", "reloads"}) {
    if (const json::value* value = latest->status.if_contains(key)) answer[key] = *value;
  }
}

void AddRunningTask(const FleetController& controller, const Instance& instance, Time now,
                    json::object& answer) {
  for (const OrderState& order : controller.orders()) {
    if (order.ended) continue;
    for (const InstanceTask& task : order.tasks) {
      if (task.instance != instance.name || task.state != TaskState::kRunning) continue;
      answer["order"] = order.order.id;
      answer["doing"] = controller.DescribeStep(order, task);
      answer["doing_for_ms"] = (now - task.step_started_at).count();
    }
  }
}

json::object EncodeTaskStatus(const FleetController& controller, const OrderState& order,
                              const InstanceTask& task, Time now) {
  json::object answer{{"instance", task.instance}, {"result", TaskStateName(task.state)}};
  if (IsTerminal(task.state)) {
    const bool has_begun = task.started_at != Time(0);
    answer["text"] = task.message;
    answer["took_ms"] = has_begun ? (task.ended_at - task.started_at).count() : 0;
    return answer;
  }
  const bool is_running = task.state == TaskState::kRunning;
  answer["text"] = controller.DescribeStep(order, task);
  answer["took_ms"] = is_running ? (now - task.started_at).count() : 0;
  answer["doing_for_ms"] = is_running ? (now - task.step_started_at).count() : 0;
  return answer;
}

json::object CountTaskStates(const OrderState& order) {
  std::map<std::string_view, std::int64_t> counts;
  for (const InstanceTask& task : order.tasks) ++counts[TaskStateName(task.state)];
  json::object answer;
  for (const auto& [name, count] : counts) answer[name] = count;
  return answer;
}

}  // namespace

json::object EncodeInstanceStatus(const AgentRuntime& agent, const Instance& instance) {
  const Time now = MonotonicNow();
  json::object answer{{"name", instance.name},
                      {"state", InstanceStateName(instance)},
                      {"wanted", DesiredStateName(instance)},
                      {"pid", instance.pid},
                      {"generation", instance.changed_generation},
                      {"deaths", instance.consecutive_crashes},
                      {"last_end", instance.last_exit},
                      {"gave_up", instance.crash_loop_reason}};
  AddDefinition(instance, answer);
  if (!instance.unresponsive_reason.empty() && instance.pid != 0) {
    answer["silent"] = instance.unresponsive_reason;
    answer["silent_for_ms"] = (now - instance.unresponsive_since).count();
  }
  AddLatestStatus(agent, instance, now, answer);
  AddRunningTask(agent.controller(), instance, now, answer);
  return answer;
}

json::object EncodeOrderSummary(const OrderState& state) {
  const Order& order = state.order;
  return {{"id", order.id},
          {"verb", VerbName(order.verb)},
          {"who", order.author},
          {"generation", state.generation},
          {"accepted_unix_ms", state.accepted_unix_ms},
          {"age_ms", (MonotonicNow() - state.accepted_at).count()},
          {"ended", state.ended},
          {"halted", state.halted},
          {"superseded_by", state.superseded_by},
          {"results", CountTaskStates(state)}};
}

json::object EncodeOrderStatus(const FleetController& controller, const OrderState& order) {
  const Time now = MonotonicNow();
  json::object answer = EncodeOrderSummary(order);
  json::array instances;
  for (const InstanceTask& task : order.tasks)
    instances.push_back(EncodeTaskStatus(controller, order, task, now));
  answer["instances"] = std::move(instances);
  return answer;
}

json::object EncodeOrderList(const FleetController& controller) {
  json::array orders;
  for (const OrderState& order : controller.orders()) orders.push_back(EncodeOrderSummary(order));
  return {{"generation", controller.generation()}, {"orders", std::move(orders)}};
}

json::object EncodeStatus(const AgentRuntime& agent) {
  json::array instances;
  for (const auto& [name, instance] : agent.controller().instances())
    instances.push_back(EncodeInstanceStatus(agent, instance));
  json::array open_orders;
  for (const OrderState& order : agent.controller().orders()) {
    if (!order.ended) open_orders.push_back(EncodeOrderSummary(order));
  }
  return {{"agent", agent.settings().name},
          {"version", BADGERBRIDGE_VERSION},
          {"pid", getpid()},
          {"uptime_ms", (MonotonicNow() - agent.started_at()).count()},
          {"generation", agent.controller().generation()},
          {"disk", agent.DiskHealth()},
          {"instances", std::move(instances)},
          {"open_orders", std::move(open_orders)}};
}

json::object EncodeSubmission(const FleetController& controller, const Order& order,
                              const ValidationResult& validation, unsigned status, bool dry_run) {
  json::object answer{{"generation", controller.generation()}};
  if (status >= 400) {
    const bool is_stale = validation.code == ValidationResult::Code::kStale;
    answer["error"] = validation.message;
    answer["order"] = validation.conflicting_order;
    answer["kind"] = is_stale ? "stale" : "conflict";
    return answer;
  }
  if (dry_run) {
    json::array instances;
    for (const std::string& name : order.instances) instances.emplace_back(name);
    answer["dry_run"] = true;
    answer["instances"] = std::move(instances);
    return answer;
  }
  const OrderState* state = controller.FindOrder(order.id);
  return state ? EncodeOrderStatus(controller, *state) : answer;
}

json::array EncodeChanges(const std::vector<DefinitionChange>& changes) {
  constexpr std::string_view kKindNames[] = {"add", "change", "remove"};
  json::array answer;
  for (const DefinitionChange& change : changes)
    answer.push_back(json::object{{"instance", change.instance},
                                  {"kind", kKindNames[static_cast<int>(change.kind)]},
                                  {"text", change.description}});
  return answer;
}

json::object EncodeLog(const std::string& instance, const std::vector<std::string>& lines) {
  json::array answer;
  for (const std::string& line : lines) answer.emplace_back(line);
  return {{"instance", instance}, {"lines", std::move(answer)}};
}

}  // namespace badgerbridge::agent
