// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl zones and zones history: what the proxies have decided in common. In builds with the etcd
/// client.
#ifndef BADGERBRIDGE_CLI_ZONES_COMMAND_H_
#define BADGERBRIDGE_CLI_ZONES_COMMAND_H_

#include <iosfwd>
#include <string>

#include "cli/etcd_session.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::cli {

/// A load, in standard cores, for people.
std::string FormatLoad(double load);

/// Prints the decision in force. MissingDecision: there is none.
Result<ExitCode> ShowZones(const operator_config::ZoneFailoverSettings& zones,
                           const EtcdCommandOptions& options, std::ostream& out);

/// Prints the newest `max_count` decisions, as far back as etcd has them.
Result<ExitCode> ShowZoneHistory(const operator_config::ZoneFailoverSettings& zones,
                                 const EtcdCommandOptions& options, std::size_t max_count, std::ostream& out);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ZONES_COMMAND_H_
