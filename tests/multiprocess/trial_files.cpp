// SPDX-License-Identifier: Apache-2.0
//
// The files that a proxy of a trial reads at its start: its configuration and, where the plan has regions,
// the operator's file.
#include <cmath>
#include <fstream>

#include "multiprocess/trial.h"
#include "multiprocess/trial_names.h"

namespace badgerbridge::multiprocess {

namespace json = boost::json;

int Trial::Descriptors(const Proxy& proxy) const {
  constexpr int kPlenty = 1024;
  return proxy.zone == 0 ? model_.multiprocess.sockets_per_proxy : kPlenty;
}

std::string Trial::Config(const Proxy& proxy) const {
  json::array classes, zones, known;
  // As it had the list last, if it had one.
  for (const Backend& c : backends_) {
    if (proxy.starts > 1 && c.status != "Gone")
      known.push_back(json::object{{"name", c.name},
                                   {"address", c.relayed[static_cast<std::size_t>(proxy.zone)]},
                                   {"zone", ZoneName(c.zone)},
                                   {"type", "standard"},
                                   {"group", c.group},
                                   {"status", c.status},
                                   {"weight", 1.0},
                                   {"since_ms", c.since_ms}});
  }
  constexpr const char* kEffects[] = {"read_like", "idempotency_key", "non_idempotent"};
  constexpr const char* kGroups[] = {"all", "zone", "cell"};
  for (const simulator::ClassModel& c : model_.classes)
    classes.push_back(json::object{{"name", c.name},
                                   {"effect", kEffects[static_cast<int>(c.rules.effect)]},
                                   {"group", kGroups[static_cast<int>(c.rules.group)]},
                                   {"windowMs", c.rules.window.count()},
                                   {"goalTimeMs", c.rules.latency_objective.count()},
                                   {"deadlineMs", c.rules.deadline.count()},
                                   {"worth", c.rules.priority_weight},
                                   {"lateWorth", c.rules.late_weight}});
  for (int z = 0; z < model_.zones; ++z) zones.push_back(json::value(ZoneName(z)));
  const auto me = static_cast<int>(&proxy - proxies_.data());
  return json::serialize(json::object{
      {"name", proxy.name},
      {"listen", proxy.listen},
      {"discovery", proxy.discovery},
      {"seed", std::to_string(100 + seed_ % 1000 * 100 + static_cast<std::uint64_t>(me + proxy.starts * 10))},
      {"known", json::object{{"index", 0}, {"snapshot", true}, {"endpoints", std::move(known)}}},
      {"limits", json::object{{"cores", 1.0}, {"memory_mb", 192}, {"sockets", Descriptors(proxy)}}},
      {"settings",
       json::object{{"balancers", model_.proxies},
                    {"me", me},
                    {"zone", proxy.zone},
                    {"zones", std::move(zones)},
                    {"kinds", json::array{"standard"}},
                    {"tenants", json::array{}},
                    {"periodMs", 5.0},
                    {"registryMode", "push"},
                    {"classes", std::move(classes)},
                    {"permissions", json::object{{"maxAttempts", model_.max_attempts},
                                                 {"connectTimeoutMs", model_.network.connect_timeout.count()},
                                                 {"connIdleMs", 60000.0},
                                                 {"retryAfter", model_.max_retry_after.count() > 0},
                                                 {"maxRetryAfterMs", model_.max_retry_after.count()}}},
                    {"rules", json::object{{"coldFrom", model_.backend.slow_start_floor},
                                           {"warmUpMs", model_.backend.slow_start_window.count()},
                                           {"fallMultiple", std::max(1.0, model_.backend.overload_factor)},
                                           {"overloadForMs", model_.backend.overload_duration.count()},
                                           {"drainGraceMs", model_.drain_grace.count()}}}}}});
}

// What this installation switches on: the control API to look on, and the regions or the relays.
void Trial::WriteOperatorFile(const Proxy& proxy) const {
  std::ofstream file(Path(proxy, ".toml"), std::ios::trunc);
  file << "[control]\nsocket = \"" << Path(proxy, ".sock") << "\"\n";
  if (relays_on()) WriteMembersTable(proxy, file);
  if (model_.multiprocess.runs_zone_failover) WriteRegionsTable(proxy, file);
}

// The relays that follow relays, those of the proxy's own region first.
void Trial::WriteMembersTable(const Proxy& proxy, std::ostream& file) const {
  file << "[etcd]\nprefix = \"" << MembersPrefix(proxy.zone) << "\"\nendpoints = [";
  for (const bool near : {true, false}) {
    for (const Relay& relay : relays_) {
      if (!relay.follows_etcd && (relay.region == model_.RegionOf(proxy.zone)) == near)
        file << '"' << relay.by_zone[static_cast<std::size_t>(proxy.zone)] << "\", ";
    }
  }
  file << "]\n";
}

void Trial::WriteRegionsTable(const Proxy& proxy, std::ostream& file) const {
  file << "[regions]\nprefix = \"" << kPrefix << "\"\nendpoints = [";
  for (const std::string& address : etcd_relayed_[static_cast<std::size_t>(proxy.zone)])
    file << '"' << address << "\", ";
  file << "]\nzones = [";
  for (int z = 0; z < model_.zones; ++z) file << '"' << ZoneName(z) << "\", ";
  file << "]\n";
  for (int a = 0; a < model_.zones; ++a) {
    for (int b = a + 1; b < model_.zones; ++b) {
      if (model_.RegionOf(a) == model_.RegionOf(b)) continue;
      file << "[[regions.link]]\nfrom = \"" << ZoneName(a) << "\"\nto = \"" << ZoneName(b)
           << "\"\nround_trip = \"" << static_cast<int>(std::ceil(2 * model_.cross_region_latency.count()))
           << "ms\"\nprice_percent = 20\n";
    }
  }
}

}  // namespace badgerbridge::multiprocess
