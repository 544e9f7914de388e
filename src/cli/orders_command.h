// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl orders: the orders that agents have, and the results of one of them.
#ifndef BADGERBRIDGE_CLI_ORDERS_COMMAND_H_
#define BADGERBRIDGE_CLI_ORDERS_COMMAND_H_

#include <string>

#include "cli/agent_session.h"

namespace badgerbridge::cli {

/// Prints all orders of all agents.
ExitCode ListOrders(AgentSession& session);

/// Prints one order with the results of its instances. UnknownOrder: no agent has it.
Result<ExitCode> ShowOrder(AgentSession& session, const std::string& id);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ORDERS_COMMAND_H_
