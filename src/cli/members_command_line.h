// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The command line of members and the commands below it.
#ifndef BADGERBRIDGE_CLI_MEMBERS_COMMAND_LINE_H_
#define BADGERBRIDGE_CLI_MEMBERS_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "cli/command_line.h"

namespace badgerbridge::cli {

/// The options of `members register`, as given.
struct RegistrationOptions {
  std::string address;            ///< --address: address and port
  std::string zone;               ///< --zone
  std::string kind;               ///< --kind
  int group = 0;                  ///< --group
  double weight = 1;              ///< --weight
  double start_time_ms = 0;       ///< --since: Unix time; 0: now
  std::string lease_ttl = "10s";  ///< --ttl: a duration
  std::string drain_time = "2s";  ///< --drain-for: a duration
};

/// The options of members and the commands below it, as given. The commands share them, since options of
/// `members` are accepted before the command below it.
struct MembersOptions {
  Selection selection;                      ///< of members and `members release`
  std::string operator_file;                ///< --operator: path; empty: BADGERBRIDGE_OPERATOR
  std::vector<std::string> etcd_endpoints;  ///< --etcd: addresses and ports; empty: those in the file
  std::vector<std::string> backends;        ///< their names
  bool dry_run = false;                     ///< --dry-run
  RegistrationOptions registration;         ///< of `members register`
};

/// Adds members and the commands below it.
void AddMembersCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table);

/// Runs `members drain`. BuiltWithoutEtcd in builds without etcd's client, as the two below.
Result<ExitCode> RunMembersDrain(const GlobalOptions& global, const MembersOptions& options);
/// Runs `members undrain`.
Result<ExitCode> RunMembersUndrain(const GlobalOptions& global, const MembersOptions& options);
/// Runs `members register`, until a signal ends it.
Result<ExitCode> RunMembersRegister(const GlobalOptions& global, const MembersOptions& options);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_MEMBERS_COMMAND_LINE_H_
