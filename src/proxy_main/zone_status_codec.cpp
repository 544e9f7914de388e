// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/zone_status_codec.h"

#include <boost/json.hpp>
#include <cmath>
#include <utility>

namespace badgerbridge::proxy_main {
namespace {

namespace json = boost::json;
using zone_failover::Decision;

double RoundToThousandths(double value) { return std::round(value * 1000) / 1000; }

/// Encodes a quota; a negative quota means no limit and becomes null.
json::value EncodeQuota(double work_per_ms) {
  if (work_per_ms < 0) return nullptr;
  return RoundToThousandths(work_per_ms);
}

/// Adds a zone's part of a decision. `grant` is the work per ms that the proxy's own zone may send there.
void AddDecision(const Decision::Zone& zone, double grant, json::object* encoded) {
  (*encoded)["state"] = zone_failover::WireName(zone.state);
  (*encoded)["why"] = zone.reason;
  (*encoded)["shown"] = RoundToThousandths(zone.observed_capacity);
  (*encoded)["limit"] = RoundToThousandths(zone.limit);
  (*encoded)["carried"] = RoundToThousandths(zone.served);
  (*encoded)["demand"] = RoundToThousandths(zone.demand);
  (*encoded)["members"] = zone.members;
  (*encoded)["lost"] = zone.lost_members;
  (*encoded)["granted"] = EncodeQuota(grant);
}

json::array EncodeZones(balancer::TimePoint now, const zone_failover::Member& member,
                        const ZoneNames& zones) {
  const std::vector<double> quotas = member.ZoneQuotas(now);
  const std::optional<Decision>& decision = member.decision();
  json::array encoded_zones;
  for (std::size_t i = 0; i < zones.all.size(); ++i) {
    json::object encoded{{"name", zones.all[i]}, {"share", EncodeQuota(quotas[i])}};
    if (decision) AddDecision(decision->zones[i], decision->grants.at(zones.home, i), &encoded);
    encoded_zones.push_back(std::move(encoded));
  }
  return encoded_zones;
}

}  // namespace

json::object EncodeZoneStatus(balancer::TimePoint now, const zone_failover::Member& member,
                              const ZoneNames& zones, bool is_coordinated) {
  const std::optional<Decision>& decision = member.decision();
  return {{"decide", is_coordinated ? "together" : "alone"},
          {"zone", zones.all[zones.home]},
          {"in_touch", member.IsInContact(now)},
          {"admitted", member.IsAdmitted()},
          {"deciding", member.is_leader()},
          {"decider", member.leader()},
          {"epoch", decision ? decision->epoch : 0},
          {"calls", member.calls()},
          {"last_trouble", member.last_error()},
          {"zones", EncodeZones(now, member, zones)}};
}

}  // namespace badgerbridge::proxy_main
