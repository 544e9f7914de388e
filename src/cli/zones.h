// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-ctl zones: what all proxies have decided in common, and operators' orders to leave a zone;
// straight to etcd. In builds with the etcd client.
#ifndef BADGERBRIDGE_CLI_ZONES_H_
#define BADGERBRIDGE_CLI_ZONES_H_

#include <chrono>
#include <iosfwd>
#include <string>

#include "operator_config/operator_file.h"

namespace badgerbridge::cli {

struct ZonesCommand {
  operator_config::ZoneFailoverSettings
      regions;  // where etcd is, the zones' names and the links between them
  bool json = false, color = false, dry_run = false, force = false;
  std::chrono::milliseconds timeout{0};  // 0: usual
  std::string who;                       // for the order
};

// Each gives an exit code (commands.h).
int ShowZones(const ZonesCommand& command, std::ostream& out, std::ostream& err);
// Orders all proxies to leave the zone; the order ends by itself after `lasts` (its key is bound to a lease),
// at the latest. Refused where the others have no room, unless forced.
int Evacuate(const ZonesCommand& command, const std::string& zone, std::chrono::seconds lasts,
             std::ostream& out, std::ostream& err);
int ReturnZone(const ZonesCommand& command, const std::string& zone, std::ostream& out, std::ostream& err);
// The newest `most` decisions, as far back as etcd has them.
int ZonesHistory(const ZonesCommand& command, int most, std::ostream& out, std::ostream& err);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ZONES_H_
