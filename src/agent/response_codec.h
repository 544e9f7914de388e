// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// JSON bodies of API responses. Only this codec maps the names of API responses to those of the code.
#ifndef BADGERBRIDGE_AGENT_RESPONSE_CODEC_H_
#define BADGERBRIDGE_AGENT_RESPONSE_CODEC_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "agent/agent_runtime.h"

namespace badgerbridge::agent {

/// The response body of GET /v1/status.
boost::json::object EncodeStatus(const AgentRuntime& agent);

/// One instance with its latest reported status.
boost::json::object EncodeInstanceStatus(const AgentRuntime& agent, const Instance& instance);

/// An order without its tasks.
boost::json::object EncodeOrderSummary(const OrderState& order);

/// An order with the current step or the outcome of each task.
boost::json::object EncodeOrderStatus(const FleetController& controller, const OrderState& order);

/// The response body of GET /v1/orders.
boost::json::object EncodeOrderList(const FleetController& controller);

/// The response body of a submitted order: the rejection if `status` is 400 or more, the result of a dry run,
/// or the state of the accepted or existing order.
boost::json::object EncodeSubmission(const FleetController& controller, const Order& order,
                                     const ValidationResult& validation, unsigned status, bool dry_run);

/// The member "changes": the differences between the stored definitions and a fleet file.
boost::json::array EncodeChanges(const std::vector<DefinitionChange>& changes);

/// The response body of GET /v1/logs/NAME.
boost::json::object EncodeLog(const std::string& instance, const std::vector<std::string>& lines);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_RESPONSE_CODEC_H_
