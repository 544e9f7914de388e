// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl members and members release: the backends as the proxies see them, by way of their
/// agents.
#ifndef BADGERBRIDGE_CLI_MEMBERS_COMMAND_H_
#define BADGERBRIDGE_CLI_MEMBERS_COMMAND_H_

#include "cli/agent_session.h"
#include "cli/fleet_status.h"

namespace badgerbridge::cli {

/// Prints the backends that each selected proxy has in its ledger, and the state of its sources.
ExitCode ShowMembers(AgentSession& session, const Selection& selection);

/// Has the selected proxies remove the backends whose departure they hold back. Requires a selection.
Result<ExitCode> ReleaseMembers(AgentSession& session, const Selection& selection);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_MEMBERS_COMMAND_H_
