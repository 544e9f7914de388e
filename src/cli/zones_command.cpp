// SPDX-License-Identifier: Apache-2.0
#include "cli/zones_command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <ostream>
#include <utility>

#include "cli/table.h"
#include "cli/zone_store.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;
using operator_config::ZoneFailoverSettings;
using zone_failover::Decision;
using zone_failover::ZoneState;

/// The most that other zones may send to this one.
double GrantedToOthers(const Decision& decision, std::size_t zone) {
  double sum = 0;
  for (std::size_t origin = 0; origin < decision.zones.size(); ++origin) {
    if (origin != zone) sum += std::max(0.0, decision.grants.at(origin, zone));
  }
  return sum;
}

std::string MembersText(const Decision::Zone& zone) {
  const std::string members = std::to_string(zone.members);
  return zone.lost_members > 0 ? members + " and " + std::to_string(zone.lost_members) + " lost" : members;
}

std::string ReasonText(const Decision::Zone& zone, const std::string& ordered_by) {
  return ordered_by.empty() ? zone.reason : "ordered by " + ordered_by;
}

Table ZoneTable(const std::vector<std::string>& names, const ZoneStoreContent& content) {
  Table table({"ZONE", "STATE", "CARRIED", "COULD CARRY", "ASKED", "FROM OTHERS", "MEMBERS", "WHY"});
  const Decision& decision = *content.decision;
  for (std::size_t i = 0; i < decision.zones.size(); ++i) {
    const Decision::Zone& zone = decision.zones[i];
    table.Add({names[i], std::string(zone_failover::WireName(zone.state)), FormatLoad(zone.served),
               FormatLoad(zone.limit), FormatLoad(zone.demand), FormatLoad(GrantedToOthers(decision, i)),
               MembersText(zone), ReasonText(zone, content.evacuation_orders[i])});
  }
  return table;
}

json::object ZonesJson(const std::vector<std::string>& names, const ZoneStoreContent& content) {
  const Decision& decision = *content.decision;
  json::array zones;
  for (std::size_t i = 0; i < decision.zones.size(); ++i) {
    const Decision::Zone& zone = decision.zones[i];
    zones.push_back(json::object{{"zone", names[i]},
                                 {"state", zone_failover::WireName(zone.state)},
                                 {"carried", zone.served},
                                 {"limit", zone.limit},
                                 {"shown", zone.observed_capacity},
                                 {"demand", zone.demand},
                                 {"from_others", GrantedToOthers(decision, i)},
                                 {"members", zone.members},
                                 {"lost", zone.lost_members},
                                 {"order", content.evacuation_orders[i]},
                                 {"why", zone.reason}});
  }
  return {{"epoch", decision.epoch},       {"revision", content.decision_revision},
          {"decided_by", decision.leader}, {"decider", content.leader},
          {"members", content.members},    {"zones", std::move(zones)}};
}

/// Whether the decision is worth a word about this zone; `previous` is null if it is not known.
bool HasChanged(const Decision& decision, const Decision* previous, std::size_t zone) {
  const ZoneState state = decision.zones[zone].state;
  return state != (previous ? previous->zones[zone].state : ZoneState::kHealthy);
}

/// "a unavailable: its members fail; b recovering"
std::string ChangesText(const std::vector<std::string>& names, const Decision& decision,
                        const Decision* previous) {
  std::string text;
  for (std::size_t i = 0; i < decision.zones.size(); ++i) {
    if (!HasChanged(decision, previous, i)) continue;
    const Decision::Zone& zone = decision.zones[i];
    if (!text.empty()) text += "; ";
    text += names[i] + " " + std::string(zone_failover::WireName(zone.state));
    if (!zone.reason.empty()) text += ": " + zone.reason;
  }
  return text;
}

}  // namespace

std::string FormatLoad(double load) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", load);
  return text;
}

Result<ExitCode> ShowZones(const ZoneFailoverSettings& zones, const EtcdCommandOptions& options,
                           std::ostream& out) {
  const auto content = RunWithEtcdClient<ZoneStoreContent>(
      zones, [&](etcd::Client& client) { return ReadZoneStore(client, zones, options.timeout); });
  if (!content) return content.error();
  if (!content->decision) return MissingDecision{content->members};
  if (options.json) {
    out << json::serialize(ZonesJson(zones.zones, *content)) << '\n';
    return ExitCode::kSuccess;
  }
  const std::string leader =
      content->leader.empty() ? "nobody decides now" : content->leader + " decides now";
  out << ZoneTable(zones.zones, *content).ToString() << "epoch " << content->decision->epoch
      << ", decided by " << content->decision->leader << "; " << leader << "; " << content->members
      << " proxies take part; work in standard cores\n";
  return ExitCode::kSuccess;
}

Result<ExitCode> ShowZoneHistory(const ZoneFailoverSettings& zones, const EtcdCommandOptions& options,
                                 std::size_t max_count, std::ostream& out) {
  const auto history = RunWithEtcdClient<DecisionHistory>(zones, [&](etcd::Client& client) {
    return ReadDecisionHistory(client, zones, max_count, options.timeout);
  });
  if (!history) return history.error();
  Table table({"EPOCH", "REVISION", "DECIDED BY", "WHAT CHANGED"});
  json::array all;
  for (std::size_t i = 0; i < history->decisions.size(); ++i) {
    const PastDecision& past = history->decisions[i];
    const bool is_oldest = i + 1 == history->decisions.size();
    const Decision* previous = is_oldest ? nullptr : &history->decisions[i + 1].decision;
    const std::string changes = ChangesText(zones.zones, past.decision, previous);
    table.Add({std::to_string(past.decision.epoch), std::to_string(past.revision), past.decision.leader,
               changes.empty() ? "how much" : changes});
    all.push_back(json::object{{"epoch", past.decision.epoch},
                               {"revision", past.revision},
                               {"decided_by", past.decision.leader},
                               {"changed", changes}});
  }
  WriteJsonOrTable(out, options.json, all, table);
  if (!options.json && history->is_compacted) out << "etcd has forgotten what was before\n";
  return ExitCode::kSuccess;
}

}  // namespace badgerbridge::cli
