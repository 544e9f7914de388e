// SPDX-License-Identifier: Apache-2.0
#include "agent/order_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>
#include <utility>

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;

// The functions below throw std::exception if a member is missing or has another type, as Boost.JSON's
// accessors do. DecodeRecord() converts the exception into an AgentError.

std::string ReadText(const json::object& object, std::string_view key) {
  return std::string(object.at(key).as_string());
}

template <typename Number>
Number ReadNumber(const json::object& object, std::string_view key) {
  return object.at(key).to_number<Number>();
}

Time ReadTime(const json::object& object, std::string_view key) {
  return Time(ReadNumber<std::int64_t>(object, key));
}

Verb ReadVerb(const json::object& object) {
  const std::string name = ReadText(object, "verb");
  const auto verb = ParseVerb(name);
  if (!verb) throw std::runtime_error("unknown verb " + name);
  return *verb;
}

TaskState ReadTaskState(const json::object& object) {
  const std::string name = ReadText(object, "result");
  for (int i = 0; i <= static_cast<int>(TaskState::kSkipped); ++i) {
    const auto state = static_cast<TaskState>(i);
    if (name == TaskStateName(state)) return state;
  }
  throw std::runtime_error("unknown result " + name);
}

std::vector<Step> ReadSteps(const json::object& object) {
  std::vector<Step> steps;
  for (const json::value& step : object.at("steps").as_array()) {
    const int number = step.to_number<int>();
    if (number < 0 || number > static_cast<int>(Step::kRemoveInstance))
      throw std::runtime_error("unknown step number");
    steps.push_back(static_cast<Step>(number));
  }
  return steps;
}

json::object EncodeTask(const InstanceTask& task) {
  json::array steps;
  for (const Step step : task.steps) steps.push_back(static_cast<int>(step));
  return {{"instance", task.instance},
          {"steps", std::move(steps)},
          {"at", task.step_index},
          {"result", TaskStateName(task.state)},
          {"began", task.started_at.count()},
          {"step_began", task.step_started_at.count()},
          {"ended", task.ended_at.count()},
          {"text", task.message},
          {"forced", task.killed},
          {"applied", task.reloads_applied},
          {"refused", task.reloads_rejected}};
}

InstanceTask DecodeTask(const json::object& object) {
  InstanceTask task;
  task.instance = ReadText(object, "instance");
  task.steps = ReadSteps(object);
  task.step_index = ReadNumber<std::size_t>(object, "at");
  if (task.step_index > task.steps.size()) throw std::runtime_error("the step index is past the last step");
  task.state = ReadTaskState(object);
  task.started_at = ReadTime(object, "began");
  task.step_started_at = ReadTime(object, "step_began");
  task.ended_at = ReadTime(object, "ended");
  task.message = ReadText(object, "text");
  task.killed = object.at("forced").as_bool();
  task.reloads_applied = ReadNumber<std::uint64_t>(object, "applied");
  task.reloads_rejected = ReadNumber<std::uint64_t>(object, "refused");
  return task;
}

Instance DecodeInstance(const json::object& record) {
  Instance instance;
  instance.name = ReadText(record, "instance");
  instance.definition = ReadText(record, "definition");
  instance.desired_running = record.at("wanted").as_bool();
  instance.desired_drained = record.at("wanted_drained").as_bool();
  instance.changed_generation = ReadNumber<std::uint64_t>(record, "changed");
  instance.changed_by_order = ReadText(record, "changed_by");
  instance.consecutive_crashes = ReadNumber<int>(record, "deaths");
  instance.last_exit = ReadText(record, "last_end");
  instance.crash_loop_reason = ReadText(record, "gave_up");
  return instance;
}

Order DecodeOrder(const json::object& record) {
  Order order;
  order.id = ReadText(record, "order");
  order.verb = ReadVerb(record);
  order.author = ReadText(record, "who");
  order.expected_generation = ReadNumber<std::uint64_t>(record, "against");
  order.supersede = record.at("supersede").as_bool();
  order.deadline = ReadTime(record, "deadline");
  if (!record.at("force_after").is_null()) order.force_after = ReadTime(record, "force_after");
  order.max_parallel = ReadNumber<unsigned>(record, "at_most");
  for (const auto& [name, definition] : record.at("definitions").as_object())
    order.definitions[std::string(name)] = std::string(definition.as_string());
  return order;
}

OrderState DecodeOrderState(const json::object& record) {
  OrderState state;
  state.order = DecodeOrder(record);
  state.generation = ReadNumber<std::uint64_t>(record, "generation");
  state.accepted_unix_ms = ReadNumber<std::int64_t>(record, "accepted_unix_ms");
  state.accepted_at = ReadTime(record, "accepted");
  for (const json::value& task : record.at("parts").as_array()) {
    state.tasks.push_back(DecodeTask(task.as_object()));
    state.order.instances.push_back(state.tasks.back().instance);
  }
  state.superseded_by = ReadText(record, "superseded_by");
  state.halted = record.at("halted").as_bool();
  state.ended = record.at("ended").as_bool();
  return state;
}

/// Replaces the order of the same generation, or inserts it by generation.
void PutOrder(OrderState order, std::vector<OrderState>& orders) {
  const auto position = std::lower_bound(
      orders.begin(), orders.end(), order.generation,
      [](const OrderState& other, std::uint64_t generation) { return other.generation < generation; });
  if (position != orders.end() && position->generation == order.generation) {
    *position = std::move(order);
  } else {
    orders.insert(position, std::move(order));
  }
}

void ApplyRecord(const json::object& record, FleetState& state) {
  if (record.contains("instance")) {
    Instance instance = DecodeInstance(record);
    state.generation = std::max(state.generation, instance.changed_generation);
    std::string name = instance.name;
    state.instances[std::move(name)] = std::move(instance);
  } else if (record.contains("removed")) {
    state.instances.erase(ReadText(record, "removed"));
  } else if (record.contains("order")) {
    OrderState order = DecodeOrderState(record);
    state.generation = std::max(state.generation, order.generation);
    PutOrder(std::move(order), state.orders);
  } else {
    state.generation = std::max(state.generation, ReadNumber<std::uint64_t>(record, "generation"));
  }
}

}  // namespace

std::string_view VerbName(Verb verb) {
  constexpr std::string_view kNames[] = {"start", "stop", "drain", "undrain", "reload", "restart", "apply"};
  return kNames[static_cast<int>(verb)];
}

std::optional<Verb> ParseVerb(std::string_view name) {
  for (int i = 0; i <= static_cast<int>(Verb::kApply); ++i) {
    const auto verb = static_cast<Verb>(i);
    if (name == VerbName(verb)) return verb;
  }
  return std::nullopt;
}

std::string_view TaskStateName(TaskState state) {
  constexpr std::string_view kNames[] = {"waiting", "running", "done", "failed", "superseded", "not begun"};
  return kNames[static_cast<int>(state)];
}

std::string EncodeInstance(const Instance& instance) {
  return json::serialize(json::object{{"instance", instance.name},
                                      {"definition", instance.definition},
                                      {"wanted", instance.desired_running},
                                      {"wanted_drained", instance.desired_drained},
                                      {"changed", instance.changed_generation},
                                      {"changed_by", instance.changed_by_order},
                                      {"deaths", instance.consecutive_crashes},
                                      {"last_end", instance.last_exit},
                                      {"gave_up", instance.crash_loop_reason}});
}

std::string EncodeRemovedInstance(const std::string& name) {
  return json::serialize(json::object{{"removed", name}});
}

std::string EncodeOrder(const OrderState& state) {
  const Order& order = state.order;
  json::array tasks;
  for (const InstanceTask& task : state.tasks) tasks.push_back(EncodeTask(task));
  json::object definitions;
  if (!state.ended) {
    for (const auto& [name, definition] : order.definitions) definitions[name] = definition;
  }
  json::object record{{"order", order.id},
                      {"verb", VerbName(order.verb)},
                      {"who", order.author},
                      {"against", order.expected_generation},
                      {"supersede", order.supersede},
                      {"deadline", order.deadline.count()},
                      {"force_after", nullptr},
                      {"at_most", order.max_parallel},
                      {"definitions", std::move(definitions)},
                      {"generation", state.generation},
                      {"accepted_unix_ms", state.accepted_unix_ms},
                      {"accepted", state.accepted_at.count()},
                      {"parts", std::move(tasks)},
                      {"superseded_by", state.superseded_by},
                      {"halted", state.halted},
                      {"ended", state.ended}};
  if (order.force_after) record["force_after"] = order.force_after->count();
  return json::serialize(record);
}

std::string EncodeGeneration(std::uint64_t generation) {
  return json::serialize(json::object{{"generation", generation}});
}

Result<void> DecodeRecord(std::string_view record, FleetState& state) {
  try {
    const json::value value = json::parse(json::string_view(record.data(), record.size()));
    ApplyRecord(value.as_object(), state);
    return {};
  } catch (const std::exception& error) {
    return AgentError{AgentErrorKind::kInvalidRecord, std::string(record), error.what()};
  }
}

}  // namespace badgerbridge::agent
