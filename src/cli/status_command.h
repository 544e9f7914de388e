// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl status and watch: the state of instances in one table.
#ifndef BADGERBRIDGE_CLI_STATUS_COMMAND_H_
#define BADGERBRIDGE_CLI_STATUS_COMMAND_H_

#include <chrono>

#include "cli/agent_session.h"
#include "cli/fleet_status.h"

namespace badgerbridge::cli {

/// Prints the state of the selected instances once.
ExitCode ShowStatus(AgentSession& session, const Selection& selection);

/// Prints the state of the selected instances every `interval`, `times` times; 0: until the output is closed.
ExitCode WatchStatus(AgentSession& session, const Selection& selection, std::chrono::milliseconds interval,
                     int times);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_STATUS_COMMAND_H_
