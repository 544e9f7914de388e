// SPDX-License-Identifier: Apache-2.0
#include "cli/instance_command_line.h"

#include <unistd.h>

#include <memory>
#include <string>

#include "cli/instance_command.h"
#include "cli/status_command.h"

namespace badgerbridge::cli {
namespace {

constexpr int kMaxLogLines = 10000;

/// The options of the commands that show instances.
struct InstanceOptions {
  Selection selection;
  std::string watch_interval = "1s";
  int watch_count = 0;  // 0: until it is ended
  int log_lines = 50;
};

Result<ExitCode> RunWatch(const GlobalOptions& global, const InstanceOptions& options) {
  const auto timeout = ParseTimeout(global, {});
  if (!timeout) return timeout.error();
  const auto interval = ParseDurationOption("--every", options.watch_interval);
  if (!interval) return interval.error();
  return RunInSession(global, STDOUT_FILENO, [&](AgentSession& session) {
    return WatchStatus(session, options.selection, *interval, options.watch_count);
  });
}

}  // namespace

void AddStatusCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table) {
  const auto options = std::make_shared<InstanceOptions>();
  CLI::App* status = app.add_subcommand("status", "what every instance does");
  AddSelectionOptions(status, options->selection);
  table.Add(status, [&global, options] {
    return RunInSession(global, STDERR_FILENO,
                        [&](AgentSession& session) { return ShowStatus(session, options->selection); });
  });
  CLI::App* get = app.add_subcommand("get", "all that is known of an instance, with its converters");
  AddSelectionOptions(get, options->selection);
  table.Add(get, [&global, options] {
    return RunInSession(global, STDERR_FILENO,
                        [&](AgentSession& session) { return ShowInstances(session, options->selection); });
  });
  CLI::App* watch = app.add_subcommand("watch", "the status, again and again");
  AddSelectionOptions(watch, options->selection);
  watch->add_option("--every", options->watch_interval, "time between two looks (1s)");
  watch->add_option("--count", options->watch_count, "how often; 0: until it is ended");
  table.Add(watch, [&global, options] { return RunWatch(global, *options); });
}

void AddLogsCommand(CLI::App& app, const GlobalOptions& global, CommandTable& table) {
  const auto options = std::make_shared<InstanceOptions>();
  CLI::App* logs = app.add_subcommand("logs", "the last lines of instances' logs");
  AddSelectionOptions(logs, options->selection);
  logs->add_option("--lines", options->log_lines, "how many (50)")->check(CLI::Range(1, kMaxLogLines));
  table.Add(logs, [&global, options] {
    return RunInSession(global, STDERR_FILENO, [&](AgentSession& session) {
      return ShowLogs(session, options->selection, options->log_lines);
    });
  });
}

}  // namespace badgerbridge::cli
