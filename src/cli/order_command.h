// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl start, stop, drain, undrain, reload and roll: orders to selected instances.
#ifndef BADGERBRIDGE_CLI_ORDER_COMMAND_H_
#define BADGERBRIDGE_CLI_ORDER_COMMAND_H_

#include <string>

#include "cli/agent_session.h"
#include "cli/fleet_status.h"
#include "cli/order_options.h"

namespace badgerbridge::cli {

/// Orders the selected instances to do `verb`, and reports the results. Requires a selection. "roll" goes
/// from agent to agent, and halts at the first that fails; all other verbs go to all agents at once.
Result<ExitCode> OrderInstances(AgentSession& session, const std::string& verb, const Selection& selection,
                                const OrderOptions& options);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ORDER_COMMAND_H_
