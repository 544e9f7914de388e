// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl members register: keeps a backend registered in etcd. In builds with the etcd client.
#ifndef BADGERBRIDGE_CLI_REGISTRATION_COMMAND_H_
#define BADGERBRIDGE_CLI_REGISTRATION_COMMAND_H_

#include <iosfwd>

#include "cli/error.h"
#include "membership/registration.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::cli {

/// Keeps a backend's key and its lease until SIGINT or SIGTERM, then marks it as draining, and removes it.
/// Prints each change of the registration to `err`. kPartialFailure: it ended for another reason.
Result<ExitCode> RegisterMember(const operator_config::EtcdSettings& etcd,
                                membership::RegistrationSettings settings, std::ostream& err);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_REGISTRATION_COMMAND_H_
