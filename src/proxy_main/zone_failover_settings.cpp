// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/zone_failover_settings.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "zone_failover/links.h"

namespace badgerbridge::proxy_main {
namespace {

constexpr int kMsPerSecond = 1000;

zone_failover::FailoverSettings MakeFailoverSettings(const proxy::Config& config,
                                                     const operator_config::ZoneFailoverSettings& table) {
  zone_failover::FailoverSettings settings;
  settings.zones = table.zones.size();
  settings.grant_hold = table.grant_hold;
  settings.recovery_step = table.recovery_step;
  zone_failover::ZoneLinks links = zone_failover::ZoneLinksFrom(table);
  settings.round_trip_ms = std::move(links.round_trip_ms);
  settings.transfer_price = std::move(links.transfer_price);
  for (const balancer::ClassSettings& request_class : config.settings.classes) {
    settings.latency_objective_ms =
        std::min(settings.latency_objective_ms, request_class.latency_objective.count());
  }
  return settings;
}

}  // namespace

std::string Message(const ZoneMismatchError& error) {
  std::string expected;
  for (const std::string& zone : error.expected) expected += (expected.empty() ? "" : ", ") + zone;
  return "[regions] zones are not those of the configuration, in its order: " + expected;
}

void throw_exception_from_error(const ZoneMismatchError& error, const boost::source_location&) {
  throw std::runtime_error(Message(error));
}

boost::system::result<zone_failover::MemberSettings, ZoneMismatchError> MakeMemberSettings(
    const proxy::Config& config, const operator_config::ZoneFailoverSettings& table) {
  if (table.zones != config.zones) return ZoneMismatchError{table.zones, config.zones};
  zone_failover::MemberSettings settings;
  settings.name = config.name;
  settings.zone = config.settings.zone;
  settings.request_classes = config.classes.size();
  settings.coordinated = table.coordinated;
  settings.lease_ttl_s = static_cast<int>(table.lease.count() / kMsPerSecond);
  settings.heartbeat = table.heartbeat;
  settings.failover = MakeFailoverSettings(config, table);
  return settings;
}

}  // namespace badgerbridge::proxy_main
