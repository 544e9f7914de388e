// SPDX-License-Identifier: Apache-2.0
#include "cli/command_line.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "operator_config/table_reader.h"

namespace badgerbridge::cli {
namespace {

using std::chrono::milliseconds;

std::string ContextPath(const GlobalOptions& global) {
  if (!global.context.empty()) return global.context;
  const char* context = std::getenv("BADGERCTL_CONTEXT");
  if (context && *context) return context;
  const char* home = std::getenv("HOME");
  return std::string(home ? home : "") + "/.config/badgerctl/context.toml";
}

Result<std::vector<AgentTarget>> FindAgents(const GlobalOptions& global) {
  if (!global.socket.empty()) {
    AgentTarget agent;
    agent.target.unix_path = global.socket;
    return std::vector<AgentTarget>{std::move(agent)};
  }
  const FileResult<std::vector<AgentTarget>> agents = LoadContext(ContextPath(global));
  if (!agents) return InvalidContext{agents.error()};
  return *agents;
}

}  // namespace

void CommandTable::Add(const CLI::App* command, CommandFunction run) { functions_[command] = std::move(run); }

Result<ExitCode> CommandTable::RunChosen(const CLI::App& app) const {
  const CLI::App* chosen = app.get_subcommands().front();
  if (!chosen->get_subcommands().empty()) chosen = chosen->get_subcommands().front();
  return functions_.at(chosen)();
}

void AddGlobalOptions(CLI::App& app, GlobalOptions& global) {
  app.add_option("--context", global.context, "the file that names the agents (BADGERCTL_CONTEXT)");
  app.add_option("--socket", global.socket, "one agent, by the path of its socket, instead of a context");
  app.add_option("-o,--output", global.output, "table, json or names")
      ->check(CLI::IsMember({"table", "json", "names"}));
  app.add_option("--timeout", global.timeout, "how long the whole command may take");
}

void AddSelectionOptions(CLI::App* command, Selection& selection) {
  command->add_option("instances", selection.names, "instances, as NAME or AGENT/NAME");
  command->add_option("--label", selection.labels, "with this label, KEY=VALUE; several must all fit");
  command->add_option("--agent", selection.agents, "of this agent");
  command->add_option("--state", selection.states, "in this state");
  command->add_flag("--all", selection.all, "all there are");
}

Result<milliseconds> ParseDurationOption(const std::string& name, const std::string& value) {
  const auto duration = operator_config::ParseDuration(value);
  if (!duration) return InvalidDurations{{{name, value}}};
  return *duration;
}

Result<milliseconds> ParseTimeout(const GlobalOptions& global, milliseconds default_timeout) {
  if (global.timeout.empty()) return default_timeout;
  const Result<milliseconds> timeout = ParseDurationOption("--timeout", global.timeout);
  if (!timeout) return timeout.error();
  return std::max(*timeout, milliseconds(1));
}

bool UsesColor() {
  const char* no_color = std::getenv("NO_COLOR");
  return isatty(STDOUT_FILENO) && !(no_color && *no_color);
}

std::string OperatorFilePath(const std::string& option) {
  const char* path = std::getenv("BADGERBRIDGE_OPERATOR");
  return option.empty() && path ? path : option;
}

Result<ExitCode> RunInSession(const GlobalOptions& global, int progress_descriptor,
                              const std::function<Result<ExitCode>(AgentSession&)>& command) {
  const Result<milliseconds> timeout = ParseTimeout(global, milliseconds(0));
  if (!timeout) return timeout.error();
  const Result<std::vector<AgentTarget>> agents = FindAgents(global);
  if (!agents) return agents.error();
  AgentSessionSettings settings;
  settings.agents = *agents;
  settings.timeout = *timeout;
  settings.output.json = global.is_json();
  settings.output.names_only = global.output == "names";
  settings.output.color = UsesColor();
  settings.output.show_progress = isatty(progress_descriptor) && !settings.output.json;
  AgentSession session(std::move(settings), std::cout, std::cerr);
  return command(session);
}

}  // namespace badgerbridge::cli
