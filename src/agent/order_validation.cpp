// SPDX-License-Identifier: Apache-2.0
#include "agent/order_validation.h"

#include <algorithm>
#include <optional>
#include <set>

#include "agent/order_codec.h"
#include "agent/step_description.h"
#include "agent/task_steps.h"

namespace badgerbridge::agent {
namespace {

using Code = ValidationResult::Code;
/// nullopt if the check passed.
using Rejection = std::optional<ValidationResult>;

ValidationResult Invalid(std::string message) { return {Code::kInvalid, std::move(message), ""}; }

bool IsOrderIdCharacter(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') || character == '-' || character == '_' || character == '.';
}

bool IsValidOrderId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxOrderIdLength &&
         std::all_of(id.begin(), id.end(), IsOrderIdCharacter);
}

bool EndsProcesses(Verb verb) {
  return verb == Verb::kStop || verb == Verb::kRestart || verb == Verb::kApply;
}

Rejection CheckIdentity(const FleetState& state, const Order& order) {
  if (!IsValidOrderId(order.id)) return Invalid("an order's id is 1 to 64 letters, digits, '-', '_' or '.'");
  if (state.FindOrder(order.id))
    return ValidationResult{Code::kDuplicate, "this order is known; it is carried out once", order.id};
  return std::nullopt;
}

Rejection CheckSize(const Order& order) {
  if (order.instances.empty()) return Invalid("the order names no instance");
  if (order.instances.size() > kMaxInstances) return Invalid("the order names too many instances");
  return std::nullopt;
}

Rejection CheckTimes(const Order& order) {
  if (order.deadline <= Time(0) || order.deadline > kMaxDeadline)
    return Invalid("the deadline is not between 1 ms and an hour");
  if (!order.force_after) return std::nullopt;
  if (*order.force_after < Time(0) || *order.force_after > order.deadline)
    return Invalid("force_after is later than the deadline; nothing would come of it");
  if (!EndsProcesses(order.verb))
    return Invalid("force_after is for orders that end a process: stop, restart, apply");
  return std::nullopt;
}

/// Whether the order adds the instance if it does not exist.
bool AddsInstance(const Order& order, const std::string& name) {
  return order.verb == Verb::kApply && !RemovesInstance(order, name);
}

Rejection CheckInstances(const FleetState& state, const Order& order) {
  const std::set<std::string> unique(order.instances.begin(), order.instances.end());
  if (unique.size() != order.instances.size()) return Invalid("the order names an instance twice");
  std::size_t added = 0;
  for (const std::string& name : order.instances) {
    if (state.FindInstance(name)) continue;
    if (!AddsInstance(order, name))
      return ValidationResult{Code::kUnknownInstance, "there is no instance " + name, ""};
    ++added;
  }
  if (state.instances.size() + added > kMaxInstances)
    return Invalid("there would be more than " + std::to_string(kMaxInstances) + " instances");
  return std::nullopt;
}

/// Whether the task of an open order prevents the acceptance of `order`.
bool ConflictsWith(const Order& order, const OrderState& open, const InstanceTask& task) {
  if (IsTerminal(task.state)) return false;
  const auto& names = order.instances;
  if (std::find(names.begin(), names.end(), task.instance) == names.end()) return false;
  if (!order.supersede) return true;
  // Only one order may wait to take over an instance: two of them would have no defined sequence.
  return !open.superseded_by.empty() && task.state != TaskState::kPending;
}

ValidationResult Conflict(const FleetState& state, const Order& order, const OrderState& open,
                          const InstanceTask& task) {
  const std::string holder = std::string(VerbName(open.order.verb)) + " (order " + open.order.id +
                             ", generation " + std::to_string(open.generation) + ") by " + open.order.author;
  const std::string step = DescribeStep(state, open, task);
  if (order.supersede)
    return {Code::kConflict,
            task.instance + " is still held by " + holder + ", which order " + open.superseded_by +
                " has superseded, " + step + "; repeat this order once that has ended",
            open.order.id};
  return {Code::kConflict,
          task.instance + " is held by " + holder + ", " + step + "; wait for it (badgerbridge-ctl orders " +
              open.order.id + "), or take over with --supersede",
          open.order.id};
}

Rejection CheckConflicts(const FleetState& state, const Order& order) {
  for (const OrderState& open : state.orders) {
    if (open.ended) continue;
    for (const InstanceTask& task : open.tasks) {
      if (ConflictsWith(order, open, task)) return Conflict(state, order, open, task);
    }
  }
  return std::nullopt;
}

ValidationResult ChangedSince(const FleetState& state, const Order& order, const Instance& instance) {
  std::string text =
      instance.name + " was changed at generation " + std::to_string(instance.changed_generation);
  if (const OrderState* changer = state.FindOrder(instance.changed_by_order))
    text += " by " + std::string(VerbName(changer->order.verb)) + " (order " + changer->order.id + ") of " +
            changer->order.author;
  text += "; the order was written against generation " + std::to_string(order.expected_generation) +
          ": look at it again (badgerbridge-ctl status), then repeat the order";
  return {Code::kStale, std::move(text), instance.changed_by_order};
}

Rejection CheckGeneration(const FleetState& state, const Order& order) {
  if (order.expected_generation > state.generation)
    return ValidationResult{Code::kStale,
                            "the order was written against generation " +
                                std::to_string(order.expected_generation) + ", and this fleet is at " +
                                std::to_string(state.generation) +
                                ": it is for another fleet, or for one that was restored",
                            ""};
  if (order.expected_generation == 0 || order.supersede) return std::nullopt;
  for (const std::string& name : order.instances) {
    const Instance* instance = state.FindInstance(name);
    if (instance && instance->changed_generation > order.expected_generation)
      return ChangedSince(state, order, *instance);
  }
  return std::nullopt;
}

Rejection CheckOpenOrders(const FleetState& state) {
  const auto open = std::count_if(state.orders.begin(), state.orders.end(),
                                  [](const OrderState& order) { return !order.ended; });
  if (open < static_cast<std::ptrdiff_t>(kMaxOrders / 2)) return std::nullopt;
  return ValidationResult{Code::kConflict, "too many orders are open; wait for some of them", ""};
}

}  // namespace

ValidationResult ValidateOrder(const FleetState& state, const Order& order) {
  if (const Rejection rejection = CheckIdentity(state, order)) return *rejection;
  if (const Rejection rejection = CheckSize(order)) return *rejection;
  if (const Rejection rejection = CheckTimes(order)) return *rejection;
  if (const Rejection rejection = CheckInstances(state, order)) return *rejection;
  // Checked before the generation, so that the author learns of a conflicting open order first.
  if (const Rejection rejection = CheckConflicts(state, order)) return *rejection;
  if (const Rejection rejection = CheckGeneration(state, order)) return *rejection;
  if (const Rejection rejection = CheckOpenOrders(state)) return *rejection;
  return {};
}

}  // namespace badgerbridge::agent
