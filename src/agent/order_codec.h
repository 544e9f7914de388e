// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The stored form of instances and orders (JSON records), and the wire names of verbs and task states. Only
/// this codec maps the names of stored data to those of the code.
#ifndef BADGERBRIDGE_AGENT_ORDER_CODEC_H_
#define BADGERBRIDGE_AGENT_ORDER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "agent/error.h"
#include "agent/fleet_state.h"

namespace badgerbridge::agent {

/// The wire name of the verb: start, stop, drain, undrain, reload, restart or apply.
std::string_view VerbName(Verb verb);
/// The verb of this wire name; nullopt if there is none.
std::optional<Verb> ParseVerb(std::string_view name);
/// The wire name of the state: waiting, running, done, failed, superseded or "not begun".
std::string_view TaskStateName(TaskState state);

/// The record of an instance, without the state of its process.
std::string EncodeInstance(const Instance& instance);
/// The record that removes the instance of this name.
std::string EncodeRemovedInstance(const std::string& name);
/// The record of an order and its tasks. An ended order is stored without definitions, since its instances
/// have them.
std::string EncodeOrder(const OrderState& order);
/// The record of the newest generation.
std::string EncodeGeneration(std::uint64_t generation);

/// Applies a record to the state, replacing the instance or order that it names. If the record is malformed,
/// fails with AgentErrorKind::kInvalidRecord and leaves the state unchanged.
Result<void> DecodeRecord(std::string_view record, FleetState& state);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_ORDER_CODEC_H_
