// SPDX-License-Identifier: Apache-2.0
//
// A fleet's records as JSON, to store and to read back.
#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

#include "agent/orders.h"

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;

std::string Text(const json::object& object, std::string_view key) {
  return std::string(object.at(key).as_string());
}
template <typename Number>
Number Whole(const json::object& object, std::string_view key) {
  return object.at(key).to_number<Number>();
}
Time Ms(const json::object& object, std::string_view key) { return Time(Whole<std::int64_t>(object, key)); }

template <typename Enum>
Enum Named(const json::object& object, std::string_view key, int last) {
  const std::string name = Text(object, key);
  for (int i = 0; i <= last; ++i) {
    if (name == Name(static_cast<Enum>(i))) return static_cast<Enum>(i);
  }
  throw std::runtime_error("unknown " + std::string(key) + " " + name);
}

json::object ToJson(const Part& part) {
  json::array steps;
  for (const Step step : part.steps) steps.push_back(static_cast<int>(step));
  return {{"instance", part.instance},
          {"steps", std::move(steps)},
          {"at", part.at},
          {"result", Name(part.result)},
          {"began", part.began.count()},
          {"step_began", part.step_began.count()},
          {"ended", part.ended.count()},
          {"text", part.text},
          {"forced", part.forced},
          {"applied", part.reloads_applied},
          {"refused", part.reloads_refused}};
}

Part PartOf(const json::object& object) {
  Part part;
  part.instance = Text(object, "instance");
  for (const json::value& step : object.at("steps").as_array()) {
    const int number = step.to_number<int>();
    if (number < 0 || number > static_cast<int>(Step::kForget)) throw std::runtime_error("unknown step");
    part.steps.push_back(static_cast<Step>(number));
  }
  part.at = Whole<std::size_t>(object, "at");
  if (part.at > part.steps.size()) throw std::runtime_error("a step beyond the last");
  part.result = Named<Result>(object, "result", static_cast<int>(Result::kNotBegun));
  part.began = Ms(object, "began");
  part.step_began = Ms(object, "step_began");
  part.ended = Ms(object, "ended");
  part.text = Text(object, "text");
  part.forced = object.at("forced").as_bool();
  part.reloads_applied = Whole<std::uint64_t>(object, "applied");
  part.reloads_refused = Whole<std::uint64_t>(object, "refused");
  return part;
}

}  // namespace

std::string Fleet::Record(const Instance& instance) const {
  return json::serialize(json::object{{"instance", instance.name},
                                      {"definition", instance.definition},
                                      {"wanted", instance.wanted},
                                      {"wanted_drained", instance.wanted_drained},
                                      {"changed", instance.changed},
                                      {"changed_by", instance.changed_by},
                                      {"deaths", instance.deaths},
                                      {"last_end", instance.last_end},
                                      {"gave_up", instance.gave_up}});
}

std::string Fleet::Record(const OrderState& state) const {
  const Order& order = state.order;
  json::array parts;
  for (const Part& part : state.parts) parts.push_back(ToJson(part));
  json::object definitions;
  if (!state.ended) {  // afterwards the instances have them
    for (const auto& [name, definition] : order.definitions) definitions[name] = definition;
  }
  json::object record{{"order", order.id},
                      {"verb", Name(order.verb)},
                      {"who", order.who},
                      {"against", order.against},
                      {"supersede", order.supersede},
                      {"deadline", order.deadline.count()},
                      {"force_after", nullptr},
                      {"at_most", order.at_most},
                      {"definitions", std::move(definitions)},
                      {"generation", state.generation},
                      {"accepted_unix_ms", state.accepted_unix_ms},
                      {"accepted", state.accepted.count()},
                      {"parts", std::move(parts)},
                      {"superseded_by", state.superseded_by},
                      {"halted", state.halted},
                      {"ended", state.ended}};
  if (order.force_after) record["force_after"] = order.force_after->count();
  return json::serialize(record);
}

std::vector<std::string> Fleet::TakeChanges() {
  std::vector<std::string> records;
  for (const std::string& name : changed_instances_) {
    const auto found = instances_.find(name);
    records.push_back(found == instances_.end() ? json::serialize(json::object{{"removed", name}})
                                                : Record(found->second));
  }
  for (const OrderState& order : orders_) {  // by generation
    if (changed_orders_.count(order.order.id)) records.push_back(Record(order));
  }
  if (!changed_orders_.empty()) records.push_back(json::serialize(json::object{{"generation", generation_}}));
  changed_instances_.clear();
  changed_orders_.clear();
  return records;
}

std::vector<std::string> Fleet::Everything() const {
  std::vector<std::string> records{json::serialize(json::object{{"generation", generation_}})};
  for (const auto& [name, instance] : instances_) records.push_back(Record(instance));
  for (const OrderState& order : orders_) records.push_back(Record(order));
  return records;
}

void Fleet::Restore(std::string_view text) {
  const json::value value = json::parse(json::string_view(text.data(), text.size()));
  const json::object& record = value.as_object();
  if (record.contains("instance")) {
    Instance instance;
    instance.name = Text(record, "instance");
    instance.definition = Text(record, "definition");
    instance.wanted = record.at("wanted").as_bool();
    instance.wanted_drained = record.at("wanted_drained").as_bool();
    instance.changed = Whole<std::uint64_t>(record, "changed");
    instance.changed_by = Text(record, "changed_by");
    instance.deaths = Whole<int>(record, "deaths");
    instance.last_end = Text(record, "last_end");
    instance.gave_up = Text(record, "gave_up");
    generation_ = std::max(generation_, instance.changed);
    instances_[instance.name] = std::move(instance);
  } else if (record.contains("removed")) {
    instances_.erase(Text(record, "removed"));
  } else if (record.contains("order")) {
    OrderState state;
    Order& order = state.order;
    order.id = Text(record, "order");
    order.verb = Named<Verb>(record, "verb", static_cast<int>(Verb::kApply));
    order.who = Text(record, "who");
    order.against = Whole<std::uint64_t>(record, "against");
    order.supersede = record.at("supersede").as_bool();
    order.deadline = Ms(record, "deadline");
    if (!record.at("force_after").is_null()) order.force_after = Ms(record, "force_after");
    order.at_most = Whole<unsigned>(record, "at_most");
    for (const auto& [name, definition] : record.at("definitions").as_object())
      order.definitions[std::string(name)] = std::string(definition.as_string());
    state.generation = Whole<std::uint64_t>(record, "generation");
    state.accepted_unix_ms = Whole<std::int64_t>(record, "accepted_unix_ms");
    state.accepted = Ms(record, "accepted");
    for (const json::value& part : record.at("parts").as_array()) {
      state.parts.push_back(PartOf(part.as_object()));
      order.instances.push_back(state.parts.back().instance);
    }
    state.superseded_by = Text(record, "superseded_by");
    state.halted = record.at("halted").as_bool();
    state.ended = record.at("ended").as_bool();
    generation_ = std::max(generation_, state.generation);
    const auto at = std::lower_bound(
        orders_.begin(), orders_.end(), state.generation,
        [](const OrderState& a, std::uint64_t generation) { return a.generation < generation; });
    if (at != orders_.end() && at->generation == state.generation) {
      *at = std::move(state);
    } else {
      orders_.insert(at, std::move(state));
    }
  } else {
    generation_ = std::max(generation_, Whole<std::uint64_t>(record, "generation"));
  }
}

void Fleet::Restored(Time now, bool same_boot, const std::map<std::string, pid_t>& running) {
  for (const auto& [name, pid] : running) On(now, Adopted{name, pid});
  for (OrderState& order : orders_) {
    if (!same_boot) order.accepted = now;
    for (Part& part : order.parts) {
      if (!same_boot) part.began = part.step_began = part.ended = now;
      part.issued = part.forced = false;  // a signal may not have gone out
      part.retry_at = Time(0);
    }
  }
  Forget();
  changed_instances_.clear();
  changed_orders_.clear();
}

}  // namespace badgerbridge::agent
