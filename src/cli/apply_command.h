// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl apply and diff: the instances of an agent and those of a fleet file.
#ifndef BADGERBRIDGE_CLI_APPLY_COMMAND_H_
#define BADGERBRIDGE_CLI_APPLY_COMMAND_H_

#include <string>

#include "cli/agent_session.h"
#include "cli/order_options.h"

namespace badgerbridge::cli {

/// Prints what ApplyFleetFile would change.
Result<ExitCode> DiffFleetFile(AgentSession& session, const std::string& path);

/// Makes the instances of the agent that the fleet file at `path` names those of the file.
Result<ExitCode> ApplyFleetFile(AgentSession& session, const std::string& path, const OrderOptions& options);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_APPLY_COMMAND_H_
