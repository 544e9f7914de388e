// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The stored form of instances and orders (JSON records), and the wire names of verbs and task states. The
/// one place where the names of stored data meet those of the code.
#ifndef BADGERBRIDGE_AGENT_ORDER_CODEC_H_
#define BADGERBRIDGE_AGENT_ORDER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "agent/error.h"
#include "agent/fleet_state.h"

namespace badgerbridge::agent {

/// The wire name: start, stop, drain, undrain, reload, restart or apply.
std::string_view VerbName(Verb verb);
/// The verb of this wire name; nothing: there is none.
std::optional<Verb> ParseVerb(std::string_view name);
/// The wire name: waiting, running, done, failed, superseded or "not begun".
std::string_view TaskStateName(TaskState state);

/// The record of an instance, without what is known of its process.
std::string EncodeInstance(const Instance& instance);
/// The record that says that there is no instance of this name any more.
std::string EncodeRemovedInstance(const std::string& name);
/// The record of an order and its tasks. Without definitions if it has ended: then the instances have them.
std::string EncodeOrder(const OrderState& order);
/// The record of the newest generation.
std::string EncodeGeneration(std::uint64_t generation);

/// Reads any such record into the state, replacing what it names. AgentErrorKind::kInvalidRecord if it is
/// none; the state is unchanged then.
Result<void> DecodeRecord(std::string_view record, FleetState& state);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_ORDER_CODEC_H_
