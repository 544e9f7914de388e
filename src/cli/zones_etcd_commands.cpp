// SPDX-License-Identifier: Apache-2.0
//
// zones and the commands below it: from their options to the calls on etcd.
#include <unistd.h>

#include <chrono>
#include <iostream>

#include "cli/etcd_session.h"
#include "cli/evacuation_command.h"
#include "cli/zones_command.h"
#include "cli/zones_command_line.h"

namespace badgerbridge::cli {
namespace {

using operator_config::ZoneFailoverSettings;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kMinEvacuation{1};
constexpr std::chrono::hours kMaxEvacuation{7 * 24};

/// What all commands on zones need.
struct ZonesSetup {
  ZoneFailoverSettings zones;
  EtcdCommandOptions command;
};

/// The [regions] table of the operator's file.
Result<ZoneFailoverSettings> LoadZones(const ZonesOptions& options) {
  const std::string path = OperatorFilePath(options.operator_file);
  if (path.empty()) return MissingZoneFile{};
  const auto file = operator_config::LoadOperatorFile(path);
  operator_config::Problems problems = file.problems;
  if (problems.empty() && !file.zone_failover) problems.push_back({path, 0, 0, "has no [regions] table"});
  if (problems.empty() && !file.zone_failover->coordinated)
    problems.push_back({path, 0, 0, "has each proxy decide alone: there is nothing in common to show"});
  if (!problems.empty()) return InvalidFile{problems};
  return *file.zone_failover;
}

Result<ZonesSetup> MakeSetup(const GlobalOptions& global, const ZonesOptions& options) {
  const Result<ZoneFailoverSettings> zones = LoadZones(options);
  if (!zones) return zones.error();
  const auto timeout = ParseTimeout(global, kDefaultEtcdTimeout);
  if (!timeout) return timeout.error();
  return ZonesSetup{*zones, {global.is_json(), options.dry_run, *timeout}};
}

Result<EvacuationOrder> MakeEvacuationOrder(const ZonesOptions& options) {
  const auto duration = ParseDurationOption("--for", options.duration);
  if (!duration) return duration.error();
  if (*duration < kMinEvacuation || *duration > kMaxEvacuation)
    return InvalidEvacuationTime{options.duration};
  EvacuationOrder order;
  order.zone = options.zone;
  order.duration = std::chrono::duration_cast<std::chrono::seconds>(*duration);
  order.ordered_by = options.as.empty() ? "uid " + std::to_string(getuid()) : options.as;
  order.force = options.force;
  return order;
}

}  // namespace

Result<ExitCode> RunZones(const GlobalOptions& global, const ZonesOptions& options) {
  const Result<ZonesSetup> setup = MakeSetup(global, options);
  if (!setup) return setup.error();
  return ShowZones(setup->zones, setup->command, std::cout);
}

Result<ExitCode> RunZonesEvacuate(const GlobalOptions& global, const ZonesOptions& options) {
  const Result<ZonesSetup> setup = MakeSetup(global, options);
  if (!setup) return setup.error();
  const Result<EvacuationOrder> order = MakeEvacuationOrder(options);
  if (!order) return order.error();
  return EvacuateZone(setup->zones, setup->command, *order, std::cout, std::cerr);
}

Result<ExitCode> RunZonesReturn(const GlobalOptions& global, const ZonesOptions& options) {
  const Result<ZonesSetup> setup = MakeSetup(global, options);
  if (!setup) return setup.error();
  return ReturnZone(setup->zones, setup->command, options.zone, std::cout);
}

Result<ExitCode> RunZonesHistory(const GlobalOptions& global, const ZonesOptions& options) {
  const Result<ZonesSetup> setup = MakeSetup(global, options);
  if (!setup) return setup.error();
  return ShowZoneHistory(setup->zones, setup->command, static_cast<std::size_t>(options.history_lines),
                         std::cout);
}

}  // namespace badgerbridge::cli
