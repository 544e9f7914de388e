// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The command line of the commands that give orders to instances, and that show orders.
#ifndef BADGERBRIDGE_CLI_ORDER_COMMAND_LINE_H_
#define BADGERBRIDGE_CLI_ORDER_COMMAND_LINE_H_

#include "cli/command_line.h"

namespace badgerbridge::cli {

/// Adds start, stop, drain, undrain, reload, roll, apply, diff and orders.
void AddOrderCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ORDER_COMMAND_LINE_H_
