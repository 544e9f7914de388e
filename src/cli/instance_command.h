// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl get and logs: all that is known of single instances, and the end of their logs.
#ifndef BADGERBRIDGE_CLI_INSTANCE_COMMAND_H_
#define BADGERBRIDGE_CLI_INSTANCE_COMMAND_H_

#include "cli/agent_session.h"
#include "cli/fleet_status.h"

namespace badgerbridge::cli {

/// Prints the selected instances with their request classes and backends.
ExitCode ShowInstances(AgentSession& session, const Selection& selection);

/// Prints the last `line_count` lines of the selected instances' logs. Requires a selection.
Result<ExitCode> ShowLogs(AgentSession& session, const Selection& selection, int line_count);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_INSTANCE_COMMAND_H_
