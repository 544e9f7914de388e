// SPDX-License-Identifier: Apache-2.0
#include "cli/members_command_line.h"

#include <unistd.h>

#include <memory>

#include "cli/members_command.h"

namespace badgerbridge::cli {
namespace {

using SharedOptions = std::shared_ptr<MembersOptions>;

/// Adds a command below members that writes to etcd.
CLI::App* AddEtcdCommand(CLI::App* members, MembersOptions& options, const std::string& name,
                         const std::string& description) {
  CLI::App* command = members->add_subcommand(name, description);
  command->add_option("--operator", options.operator_file,
                      "the operator's file whose [etcd] table says where etcd is "
                      "(BADGERBRIDGE_OPERATOR)");
  command->add_option("--etcd", options.etcd_endpoints,
                      "a member's ADDRESS:PORT, instead of those in the file; may stand again");
  return command;
}

CLI::App* AddStateCommand(CLI::App* members, MembersOptions& options, const std::string& name,
                          const std::string& description) {
  CLI::App* command = AddEtcdCommand(members, options, name, description);
  command->add_option("converters", options.backends, "their names")->required();
  command->add_flag("--dry-run", options.dry_run, "say what would be written, and write nothing");
  return command;
}

CLI::App* AddRegisterCommand(CLI::App* members, MembersOptions& options) {
  CLI::App* command = AddEtcdCommand(members, options, "register",
                                     "keep a converter's key and its lease until this is ended");
  RegistrationOptions& registration = options.registration;
  command->add_option("converter", options.backends, "its name")->required()->expected(1);
  command->add_option("--address", registration.address, "where it takes requests, ADDRESS:PORT")->required();
  command->add_option("--zone", registration.zone, "its zone");
  command->add_option("--kind", registration.kind, "its kind");
  command->add_option("--group", registration.group, "its group")->check(CLI::NonNegativeNumber);
  command->add_option("--weight", registration.weight, "its weight (1)")->check(CLI::NonNegativeNumber);
  command->add_option("--since", registration.start_time_ms, "when it started, Unix time in ms (now)")
      ->check(CLI::NonNegativeNumber);
  command->add_option("--ttl", registration.lease_ttl, "of the lease (10s)");
  command->add_option("--drain-for", registration.drain_time,
                      "at the end: how long it says that it drains (2s)");
  return command;
}

}  // namespace

void AddMembersCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table) {
  const auto options = std::make_shared<MembersOptions>();
  CLI::App* members =
      app.add_subcommand("members", "who the converters are, as proxies believe; what etcd says of them");
  AddSelectionOptions(members, options->selection);
  table.Add(members, [&global, options] {
    return RunInSession(global, STDERR_FILENO,
                        [&](AgentSession& session) { return ShowMembers(session, options->selection); });
  });
  table.Add(AddStateCommand(members, *options, "drain", "write that converters drain"),
            [&global, options] { return RunMembersDrain(global, *options); });
  table.Add(AddStateCommand(members, *options, "undrain", "and that they don't"),
            [&global, options] { return RunMembersUndrain(global, *options); });
  table.Add(AddRegisterCommand(members, *options),
            [&global, options] { return RunMembersRegister(global, *options); });
  CLI::App* release =
      members->add_subcommand("release", "departures that proxies hold back have really happened");
  AddSelectionOptions(release, options->selection);
  table.Add(release, [&global, options] {
    return RunInSession(global, STDERR_FILENO,
                        [&](AgentSession& session) { return ReleaseMembers(session, options->selection); });
  });
}

}  // namespace badgerbridge::cli
