// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl zones evacuate and zones return: operators' orders to leave a zone. In builds with the
/// etcd client.
#ifndef BADGERBRIDGE_CLI_EVACUATION_COMMAND_H_
#define BADGERBRIDGE_CLI_EVACUATION_COMMAND_H_

#include <chrono>
#include <iosfwd>
#include <string>

#include "cli/etcd_session.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::cli {

/// An order to evacuate a zone.
struct EvacuationOrder {
  std::string zone;                  ///< its name
  std::chrono::seconds duration{0};  ///< after which it ends by itself: its key is bound to a lease
  std::string ordered_by;            ///< name of the person; shortened to what the key may hold
  bool force = false;                ///< also where the other zones lack capacity
};

/// Orders all proxies to leave the zone, and prints to `out` what the other zones will serve. Nothing is
/// ordered where they lack capacity, unless forced, which is printed to `err`.
Result<ExitCode> EvacuateZone(const operator_config::ZoneFailoverSettings& zones,
                              const EtcdCommandOptions& options, const EvacuationOrder& order,
                              std::ostream& out, std::ostream& err);

/// Ends the order for the zone of this name.
Result<ExitCode> ReturnZone(const operator_config::ZoneFailoverSettings& zones,
                            const EtcdCommandOptions& options, const std::string& name, std::ostream& out);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_EVACUATION_COMMAND_H_
