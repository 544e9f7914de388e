// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The JSON of the agent's API answers. The one place where the names of the API's answers meet those of the
/// code.
#ifndef BADGERBRIDGE_AGENT_RESPONSE_CODEC_H_
#define BADGERBRIDGE_AGENT_RESPONSE_CODEC_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "agent/agent_runtime.h"

namespace badgerbridge::agent {

/// The answer to GET /v1/status.
boost::json::object EncodeStatus(const AgentRuntime& agent);

/// One instance, with the newest status that it gave of itself.
boost::json::object EncodeInstanceStatus(const AgentRuntime& agent, const Instance& instance);

/// An order without its instances.
boost::json::object EncodeOrderSummary(const OrderState& order);

/// An order with what each of its instances is doing, or how that ended.
boost::json::object EncodeOrderStatus(const FleetController& controller, const OrderState& order);

/// The answer to GET /v1/orders.
boost::json::object EncodeOrderList(const FleetController& controller);

/// The answer to a submitted order that is a rejection (`status` 400 and more), a dry run, or the state of
/// the accepted or known order.
boost::json::object EncodeSubmission(const FleetController& controller, const Order& order,
                                     const ValidationResult& validation, unsigned status, bool dry_run);

/// The changes that a fleet file would make.
boost::json::array EncodeChanges(const std::vector<DefinitionChange>& changes);

/// The answer to GET /v1/logs/NAME.
boost::json::object EncodeLog(const std::string& instance, const std::vector<std::string>& lines);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_RESPONSE_CODEC_H_
