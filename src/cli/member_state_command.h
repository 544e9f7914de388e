// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl members drain and undrain: writes the state of backends into etcd. In builds with the
/// etcd client.
#ifndef BADGERBRIDGE_CLI_MEMBER_STATE_COMMAND_H_
#define BADGERBRIDGE_CLI_MEMBER_STATE_COMMAND_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "cli/etcd_session.h"
#include "membership/member.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::cli {

/// What precedes a backend's name in its key. With services, the name is SERVICE/NAME.
const std::string& BackendKeyPrefix(const operator_config::EtcdSettings& etcd);

/// Writes the state into the value of each backend by compare-and-swap; all else of the value, and its lease,
/// stay. Prints the results to `out`, and returns the worst exit code of them.
Result<ExitCode> ChangeMemberStates(const operator_config::EtcdSettings& etcd,
                                    const EtcdCommandOptions& options, const std::vector<std::string>& names,
                                    membership::MemberState state, std::ostream& out);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_MEMBER_STATE_COMMAND_H_
