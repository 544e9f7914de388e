// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/proxy_files.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <fstream>
#include <utility>

namespace badgerbridge::multiprocess {

namespace json = boost::json;

namespace {

constexpr int kDefaultDescriptors = 1024;
constexpr int kLinkPricePercent = 20;

json::object ClassJson(const simulator::ClassModel& request_class) {
  constexpr const char* kIdempotency[] = {"read_like", "idempotency_key", "non_idempotent"};
  constexpr const char* kDeduplicationScopes[] = {"all", "zone", "cell"};
  const balancer::ClassSettings& rules = request_class.rules;
  return {{"name", request_class.name},
          {"effect", kIdempotency[static_cast<int>(rules.idempotency)]},
          {"group", kDeduplicationScopes[static_cast<int>(rules.deduplication_scope)]},
          {"windowMs", rules.deduplication_window.count()},
          {"goalTimeMs", rules.latency_objective.count()},
          {"deadlineMs", rules.deadline.count()},
          {"worth", rules.priority_weight},
          {"lateWorth", rules.late_weight}};
}

json::object PermissionsJson(const simulator::Model& model) {
  return {{"maxAttempts", model.max_attempts},
          {"connectTimeoutMs", model.network.connect_timeout.count()},
          {"connIdleMs", 60000.0},
          {"retryAfter", model.max_retry_after.count() > 0},
          {"maxRetryAfterMs", model.max_retry_after.count()}};
}

json::object RulesJson(const simulator::Model& model) {
  return {{"coldFrom", model.backend.slow_start_floor},
          {"warmUpMs", model.backend.slow_start_window.count()},
          {"fallMultiple", std::max(1.0, model.backend.overload_factor)},
          {"overloadForMs", model.backend.overload_duration.count()},
          {"drainGraceMs", model.drain_grace.count()}};
}

json::object SettingsJson(const simulator::Model& model, const ProxyIdentity& proxy) {
  json::array classes;
  for (const simulator::ClassModel& request_class : model.classes)
    classes.push_back(ClassJson(request_class));
  json::array zones;
  for (int zone = 0; zone < model.zones; ++zone) zones.push_back(json::value(ZoneName(zone)));
  return {{"balancers", model.proxies},
          {"me", proxy.index},
          {"zone", proxy.zone},
          {"zones", std::move(zones)},
          {"kinds", json::array{"standard"}},
          {"tenants", json::array{}},
          {"periodMs", 5.0},
          {"registryMode", "push"},
          {"classes", std::move(classes)},
          {"permissions", PermissionsJson(model)},
          {"rules", RulesJson(model)}};
}

// `"a", "b", `: TOML takes a trailing comma.
std::string QuotedList(const std::vector<std::string>& texts) {
  std::string list;
  for (const std::string& text : texts) list += '"' + text + "\", ";
  return list;
}

void WriteZoneFailoverTable(const simulator::Model& model, const std::vector<std::string>& etcd_members,
                            std::ostream& file) {
  std::vector<std::string> zones;
  for (int zone = 0; zone < model.zones; ++zone) zones.push_back(ZoneName(zone));
  file << "[regions]\nprefix = \"" << kZoneFailoverPrefix << "\"\nendpoints = [" << QuotedList(etcd_members)
       << "]\nzones = [" << QuotedList(zones) << "]\n";
  const int round_trip_ms = static_cast<int>(std::ceil(2 * model.cross_region_latency.count()));
  for (int from = 0; from < model.zones; ++from) {
    for (int to = from + 1; to < model.zones; ++to) {
      if (model.RegionOf(from) == model.RegionOf(to)) continue;
      file << "[[regions.link]]\nfrom = \"" << ZoneName(from) << "\"\nto = \"" << ZoneName(to)
           << "\"\nround_trip = \"" << round_trip_ms << "ms\"\nprice_percent = " << kLinkPricePercent << "\n";
    }
  }
}

// Each start of each proxy has a seed of its own.
std::string SeedOf(const RunContext& context, const ProxyIdentity& proxy, int starts) {
  return std::to_string(100 + context.seed % 1000 * 100 +
                        static_cast<std::uint64_t>(proxy.index + starts * 10));
}

}  // namespace

std::string PathOfProxyFile(const RunContext& context, const std::string& proxy, const std::string& ending) {
  return context.folder.PathOf(proxy + ending);
}

int DescriptorLimitOf(const RunContext& context, const ProxyIdentity& proxy) {
  return proxy.zone == 0 ? context.model.multiprocess.sockets_per_proxy : kDefaultDescriptors;
}

std::string WriteProxyConfig(const RunContext& context, const ProxyIdentity& proxy, int starts,
                             const std::vector<Backend>& backends) {
  json::array known;
  for (const Backend& backend : backends) {
    if (starts > 1 && backend.status != BackendStatus::kGone)
      known.push_back(EndpointJson(backend, proxy.zone));
  }
  const json::object config{
      {"name", proxy.name},
      {"listen", proxy.listen_address},
      {"discovery", proxy.discovery_address},
      {"seed", SeedOf(context, proxy, starts)},
      {"known", json::object{{"index", 0}, {"snapshot", true}, {"endpoints", std::move(known)}}},
      {"limits",
       json::object{{"cores", 1.0}, {"memory_mb", 192}, {"sockets", DescriptorLimitOf(context, proxy)}}},
      {"settings", SettingsJson(context.model, proxy)}};
  std::string path = PathOfProxyFile(context, proxy.name, ".json");
  std::ofstream(path, std::ios::trunc) << json::serialize(config);
  return path;
}

std::string WriteOperatorFile(const RunContext& context, const ProxyIdentity& proxy,
                              const std::vector<std::string>& watch_caches,
                              const std::vector<std::string>& etcd_members) {
  std::string path = PathOfProxyFile(context, proxy.name, ".toml");
  std::ofstream file(path, std::ios::trunc);
  file << "[control]\nsocket = \"" << PathOfProxyFile(context, proxy.name, ".sock") << "\"\n";
  if (context.model.multiprocess.watch_caches > 0) {
    file << "[etcd]\nprefix = \"" << MembersPrefix(proxy.zone) << "\"\nendpoints = ["
         << QuotedList(watch_caches) << "]\n";
  }
  if (context.model.multiprocess.runs_zone_failover)
    WriteZoneFailoverTable(context.model, etcd_members, file);
  return path;
}

}  // namespace badgerbridge::multiprocess
