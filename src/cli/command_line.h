// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What all groups of commands share: the options before the command, and the table from a command to the
/// function that runs it. Each group adds its commands by a function in its own ..._command_line.h.
#ifndef BADGERBRIDGE_CLI_COMMAND_LINE_H_
#define BADGERBRIDGE_CLI_COMMAND_LINE_H_

#include <CLI/CLI.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "cli/agent_session.h"
#include "cli/error.h"
#include "cli/fleet_status.h"

namespace badgerbridge::cli {

/// The options that every command takes, as given.
struct GlobalOptions {
  std::string context;           ///< --context: path of the context file; empty: the default
  std::string socket;            ///< --socket: path of one agent's socket; empty: a context is used
  std::string output = "table";  ///< --output: "table", "json" or "names"
  std::string timeout;           ///< --timeout: a duration; empty: the command's default

  /// Whether results are printed as JSON.
  bool is_json() const { return output == "json"; }
};

/// Runs a command whose options have been read.
using CommandFunction = std::function<Result<ExitCode>()>;

/// Which function runs which command.
class CommandTable {
 public:
  /// Has `run` called for this command. `command` must outlive the table.
  void Add(const CLI::App* command, CommandFunction run);
  /// Runs the command that the command line names, or the command below it.
  Result<ExitCode> RunChosen(const CLI::App& app) const;

 private:
  std::map<const CLI::App*, CommandFunction> functions_;
};

/// Defines the options of `global` for all commands that are added afterwards.
void AddGlobalOptions(CLI::App& app, GlobalOptions& global);

/// Defines the options that select instances.
void AddSelectionOptions(CLI::App* command, Selection& selection);

/// The value of an option as a duration, or InvalidDurations. `name` is as in "--deadline".
Result<std::chrono::milliseconds> ParseDurationOption(const std::string& name, const std::string& value);

/// The value of --timeout, at least 1 ms; `default_timeout` if it is not given.
Result<std::chrono::milliseconds> ParseTimeout(const GlobalOptions& global,
                                               std::chrono::milliseconds default_timeout);

/// Whether tables on the standard output are colored: on terminals, unless NO_COLOR forbids it.
bool UsesColor();

/// The value of --operator, or that of BADGERBRIDGE_OPERATOR if it is empty.
std::string OperatorFilePath(const std::string& option);

/// Runs a command in a session with the agents that the options name. Progress is shown if
/// `progress_descriptor` is a terminal.
Result<ExitCode> RunInSession(const GlobalOptions& global, int progress_descriptor,
                              const std::function<Result<ExitCode>(AgentSession&)>& command);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_COMMAND_LINE_H_
