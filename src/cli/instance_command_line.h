// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The command line of the commands that show instances.
#ifndef BADGERBRIDGE_CLI_INSTANCE_COMMAND_LINE_H_
#define BADGERBRIDGE_CLI_INSTANCE_COMMAND_LINE_H_

#include "cli/command_line.h"

namespace badgerbridge::cli {

/// Adds status, get and watch. `global` must outlive the table; so for all functions of this kind.
void AddStatusCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table);

/// Adds logs.
void AddLogsCommand(CLI::App& app, const GlobalOptions& global, CommandTable& table);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_INSTANCE_COMMAND_LINE_H_
