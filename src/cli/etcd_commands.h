// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-ctl members drain, undrain and register: what is written in etcd, straight to its members. In
// builds with the etcd client.
#ifndef BADGERBRIDGE_CLI_ETCD_COMMANDS_H_
#define BADGERBRIDGE_CLI_ETCD_COMMANDS_H_

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "etcd/grpc.h"
#include "membership/ledger.h"
#include "membership/registration.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::cli {

// The exit code (commands.h) of a call of etcd's that has failed.
int CodeOf(const etcd::Status& status);

struct EtcdCommand {
  operator_config::EtcdSettings etcd;  // where it is, and how it is reached
  bool json = false, color = false, dry_run = false;
  std::chrono::milliseconds timeout{0};  // for each name; 0: usual
};

// Writes the state into the value of each name by compare-and-swap; all else of the value, and its lease,
// stay. An exit code (commands.h).
int ChangeMembers(const EtcdCommand& command, const std::vector<std::string>& names,
                  membership::MemberState state, std::ostream& out, std::ostream& err);

// Keeps a backend's key and its lease until SIGINT or SIGTERM, then says that it drains, and takes it away.
// An exit code; kSomeDidNot if it ended for another reason, which is said.
int RegisterMember(const EtcdCommand& command, membership::RegistrationSettings settings, std::ostream& err);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ETCD_COMMANDS_H_
