// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The command line of zones and the commands below it.
#ifndef BADGERBRIDGE_CLI_ZONES_COMMAND_LINE_H_
#define BADGERBRIDGE_CLI_ZONES_COMMAND_LINE_H_

#include <string>

#include "cli/command_line.h"

namespace badgerbridge::cli {

/// The options of zones and the commands below it, as given. The commands share them, since --operator is
/// accepted before the command below zones.
struct ZonesOptions {
  std::string operator_file;  ///< --operator: path; empty: BADGERBRIDGE_OPERATOR
  std::string zone;           ///< its name
  std::string duration;       ///< --for: of an evacuation
  std::string as;             ///< --as: the person's name; empty: the number of the user
  bool dry_run = false;       ///< --dry-run
  bool force = false;         ///< --force
  int history_lines = 50;     ///< --lines
};

/// Adds zones and the commands below it.
void AddZonesCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table);

/// Runs zones. BuiltWithoutEtcd in builds without etcd's client, as the three below.
Result<ExitCode> RunZones(const GlobalOptions& global, const ZonesOptions& options);
/// Runs `zones evacuate`.
Result<ExitCode> RunZonesEvacuate(const GlobalOptions& global, const ZonesOptions& options);
/// Runs `zones return`.
Result<ExitCode> RunZonesReturn(const GlobalOptions& global, const ZonesOptions& options);
/// Runs `zones history`.
Result<ExitCode> RunZonesHistory(const GlobalOptions& global, const ZonesOptions& options);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ZONES_COMMAND_LINE_H_
