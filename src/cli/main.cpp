// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-ctl: commands the instances of one or several agents.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>

#include "cli/check_command.h"
#include "cli/command_line.h"
#include "cli/completion.h"
#include "cli/instance_command_line.h"
#include "cli/members_command_line.h"
#include "cli/order_command_line.h"
#include "cli/relays_command.h"
#include "cli/zones_command_line.h"
#include "http_api/version.h"

namespace {

using namespace badgerbridge;
using cli::ExitCode;

constexpr const char* kExits =
    "Exit codes: 0 all did it; 1 some did not; 2 usage; 3 conflict with another order; 4 not allowed; 5 an "
    "agent is "
    "out of reach. Where several hold, the highest.";

void AddRelaysCommand(CLI::App& app, const cli::GlobalOptions& global, cli::CommandTable& table) {
  const auto query = std::make_shared<cli::RelaysQuery>();
  CLI::App* relays = app.add_subcommand("relays", "what relays hold, and how far behind each is");
  relays->add_option("sockets", query->sockets, "their status sockets (badgerbridge-relay --status-socket)")
      ->required();
  table.Add(relays, [&global, query]() -> cli::Result<ExitCode> {
    const auto timeout = cli::ParseTimeout(global, query->timeout);
    if (!timeout) return timeout.error();
    query->timeout = *timeout;
    query->json = global.is_json();
    query->color = cli::UsesColor();
    return cli::ShowRelays(*query, std::cout, std::cerr);
  });
}

void AddCheckCommand(CLI::App& app, cli::CommandTable& table) {
  const auto path = std::make_shared<std::string>();
  CLI::App* check =
      app.add_subcommand("check", "check an operator's, fleet or context file, and start nothing");
  check->add_option("file", *path, "the file")->required();
  table.Add(check, [path] { return cli::CheckFile(*path, std::cerr); });
}

void AddCompletionCommand(CLI::App& app, cli::CommandTable& table) {
  const auto shell = std::make_shared<std::string>();
  CLI::App* completion = app.add_subcommand("completion", "a completion script");
  completion->add_option("shell", *shell, "bash")->required()->check(CLI::IsMember({"bash"}));
  table.Add(completion, [shell] {
    std::cout << cli::kBashCompletion;
    return ExitCode::kSuccess;
  });
}

std::string VersionText() {
#ifdef BADGERBRIDGE_HAS_ETCD
  return http_api::VersionText("badgerbridge-ctl", {"TLS", "etcd"});
#else
  return http_api::VersionText("badgerbridge-ctl", {"TLS"});
#endif
}

/// Defines all commands, in the order of the help text.
void DefineCommandLine(CLI::App& app, cli::GlobalOptions& global, cli::CommandTable& table) {
  app.footer(kExits);
  app.set_version_flag("--version", VersionText());
  app.set_help_all_flag("--help-all", "the same with each command's own options");
  app.require_subcommand(1);
  app.fallthrough();
  cli::AddGlobalOptions(app, global);
  cli::AddStatusCommands(app, global, table);
  cli::AddOrderCommands(app, global, table);
  cli::AddLogsCommand(app, global, table);
  cli::AddMembersCommands(app, global, table);
  AddRelaysCommand(app, global, table);
  cli::AddZonesCommands(app, global, table);
  AddCheckCommand(app, table);
  AddCompletionCommand(app, table);
}

ExitCode Run(const CLI::App& app, const cli::CommandTable& table) {
  const cli::Result<ExitCode> result = table.RunChosen(app);
  return result ? *result : cli::Report(result.error(), std::cerr);
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  cli::GlobalOptions global;
  cli::CommandTable table;
  CLI::App app("badgerbridge-ctl: commands the proxies that badgerbridge-agent keeps");
  DefineCommandLine(app, global, table);
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& error) {
    return static_cast<int>(app.exit(error) == 0 ? ExitCode::kSuccess : ExitCode::kUsage);
  }
  return static_cast<int>(Run(app, table));
}
