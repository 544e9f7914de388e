// SPDX-License-Identifier: Apache-2.0
//
// The only file that maps the keys of the operator's file to the names in the code.
#include "operator_config/operator_file.h"

#include <algorithm>
#include <cstdint>
#include <set>

#include "http_api/address.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::operator_config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Limits of the values in the file.
constexpr std::size_t kMaxSocketPathBytes = 107;  // sun_path, unix(7), less its terminator
constexpr std::int64_t kMaxAdminApiConnections = 64;
constexpr milliseconds kMinTimeout{100};
constexpr milliseconds kMaxRequestTimeout = minutes(1);
constexpr milliseconds kMaxIdleTimeout = hours(1);
constexpr std::int64_t kMaxUid = 4294967294;
constexpr std::size_t kMaxEtcdMembers = 16;
constexpr milliseconds kMinPingTime{20};
constexpr milliseconds kMaxPingTime = minutes(1);
constexpr std::size_t kMaxPrefixBytes = 512;
constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxServiceNameBytes = 128;
constexpr std::size_t kMaxZones = 64;
constexpr milliseconds kMinLease = seconds(1);
constexpr milliseconds kMaxLease = minutes(1);
constexpr milliseconds kMinHeartbeat{50};
constexpr milliseconds kMaxHeartbeat = seconds(10);
constexpr int kMinHeartbeatsInLease = 3;
constexpr milliseconds kMinGrantHold{500};
constexpr milliseconds kMaxGrantHold = minutes(10);
constexpr milliseconds kMinRecoveryStep{100};
constexpr milliseconds kMaxRecoveryStep = minutes(1);
constexpr milliseconds kMaxRoundTrip = seconds(10);
constexpr std::int64_t kMaxTransferPricePercent = 1000;

void ReadSocketPath(TableReader& table, AdminApiSettings* settings) {
  table.Require("socket", "the path of a Unix domain socket, as in socket = \"/run/badgerbridge/n1.sock\"");
  settings->socket = table.Text("socket");
  if (table.Has("socket") && !settings->socket.starts_with('/'))
    table.Report("socket", "is no absolute path; one that begins with / would be right");
  if (settings->socket.size() > kMaxSocketPathBytes)
    table.Report("socket", "is longer than the 107 bytes that a Unix socket's path may have");
}

AdminApiSettings ReadAdminApi(TableReader& table) {
  AdminApiSettings settings;
  ReadSocketPath(table, &settings);
  settings.max_connections = static_cast<std::size_t>(table.Integer(
      "max_connections", static_cast<std::int64_t>(settings.max_connections), 1, kMaxAdminApiConnections));
  settings.request_timeout =
      table.Duration("request_timeout", settings.request_timeout, kMinTimeout, kMaxRequestTimeout);
  settings.idle_timeout = table.Duration("idle_timeout", settings.idle_timeout, kMinTimeout, kMaxIdleTimeout);
  if (settings.idle_timeout < settings.request_timeout)
    table.Report(table.Has("idle_timeout") ? "idle_timeout" : "request_timeout",
                 "contradicts the other time-out: idle_timeout (" + FormatDuration(settings.idle_timeout) +
                     ") must not be shorter than request_timeout (" +
                     FormatDuration(settings.request_timeout) + ")");
  for (const std::int64_t uid : table.Integers("allow_uids", 0, kMaxUid))
    settings.allow_uids.push_back(static_cast<uid_t>(uid));
  table.Finish();
  return settings;
}

bool IsEndpoint(const std::string& text) {
  const auto endpoint = http_api::ParseAddress(text);
  return endpoint && endpoint->port() > 0;
}

std::string ReadPrefix(TableReader& table, std::string_view key, const std::string& default_prefix) {
  std::string prefix = table.Text(key, default_prefix);
  if (prefix.empty() || prefix.size() > kMaxPrefixBytes)
    table.Report(key, "is empty or too long; \"" + default_prefix + "\" would be right");
  return prefix;
}

// Reports the table of a subsystem that needs etcd if this build has no etcd client.
void RequireEtcdInBuild([[maybe_unused]] TableReader& table) {
#ifndef BADGERBRIDGE_HAS_ETCD
  table.Report("", "names a subsystem that this build is without; build with -DBADGERBRIDGE_ETCD=ON");
#endif
}

void ReadServices(TableReader& table, EtcdSettings* settings) {
  settings->services = table.Texts("services");
  settings->services_prefix = ReadPrefix(table, "services_prefix", settings->services_prefix);
  if (settings->services.size() > kMaxServices)
    table.Report("services", "names " + std::to_string(settings->services.size()) + "; at most " +
                                 std::to_string(kMaxServices) + " would be right");
  std::set<std::string> seen;
  for (const std::string& service : settings->services) {
    if (service.empty() || service.size() > kMaxServiceNameBytes || service.find('/') != std::string::npos)
      table.Report("services", "names \"" + service.substr(0, kMaxServiceNameBytes) + "\"; a name of 1 to " +
                                   std::to_string(kMaxServiceNameBytes) +
                                   " characters without / would be right");
    if (!seen.insert(service).second) table.Report("services", "names " + service + " twice");
  }
}

EtcdSettings ReadEtcd(TableReader& table) {
  EtcdSettings settings;
  RequireEtcdInBuild(table);
  table.Require("endpoints", "the members' addresses, as in endpoints = [\"127.0.0.1:2379\"]");
  static_cast<EtcdConnectionSettings&>(settings) = ReadEtcdConnection(table);
  settings.prefix = ReadPrefix(table, "prefix", settings.prefix);
  ReadServices(table, &settings);
  const std::string authority = table.Text("authority", "etcd");
  if (authority != "etcd" && authority != "discovery")
    table.Report("authority", "is \"" + authority + "\"; etcd or discovery would be right");
  settings.is_authoritative = authority == "etcd";
  settings.max_departures_percent =
      static_cast<int>(table.Integer("most_departures_percent", settings.max_departures_percent, 1, 100));
  table.Finish();
  return settings;
}

bool ReadCoordinated(TableReader& table) {
  const std::string decide = table.Text("decide", "together");
  if (decide != "together" && decide != "alone")
    table.Report("decide", "is \"" + decide + "\"; together or alone would be right");
  return decide != "alone";
}

EtcdConnectionSettings ReadRegionsEtcdConnection(TableReader& table) {
  EtcdConnectionSettings settings = ReadEtcdConnection(table);
  if (table.Has("endpoints")) return settings;
  for (const char* key : {"user", "password_file", "certificate", "key", "authority_certificate",
                          "server_name", "ping_every", "ping_timeout"}) {
    if (table.Has(key))
      table.Report(key, "stands without endpoints: then all of the way to etcd is that of [etcd]");
  }
  return settings;
}

std::vector<std::string> ReadZones(TableReader& table) {
  table.Require("zones",
                "the zones in the order of the proxies' configuration, as in zones = [\"a\", \"b\"]");
  std::vector<std::string> zones = table.Texts("zones");
  if (table.Has("zones") && (zones.empty() || zones.size() > kMaxZones))
    table.Report("zones", "must name 1 to 64 zones");
  std::set<std::string> seen;
  for (const std::string& zone : zones) {
    if (!seen.insert(zone).second) table.Report("zones", "names " + zone + " twice");
  }
  return zones;
}

// Reads the lease and the interval of the heartbeats that keep it alive. Returns the warning if a former key
// name is used.
std::optional<Problem> ReadLeaseAndHeartbeat(TableReader& table, ZoneFailoverSettings* settings) {
  settings->lease = table.Duration("lease", settings->lease, kMinLease, kMaxLease);
  if (settings->lease % seconds(1) != milliseconds(0))
    table.Report("lease", "is no whole number of seconds; \"3s\" would be right");
  KeySpelling heartbeat = table.ResolveRenamedKey("heartbeat", "beat");
  settings->heartbeat = table.Duration(heartbeat.key, settings->heartbeat, kMinHeartbeat, kMaxHeartbeat);
  if (settings->heartbeat * kMinHeartbeatsInLease > settings->lease)
    table.Report(table.Has(heartbeat.key) ? heartbeat.key : "lease",
                 "contradicts the other time: three heartbeats (" + FormatDuration(settings->heartbeat) +
                     ") must fit into a lease (" + FormatDuration(settings->lease) + ")");
  return std::move(heartbeat.warning);
}

// Reports the zone at one end of a link if it is not in `zones`.
void CheckLinkZone(TableReader& table, const char* key, const std::string& zone,
                   const std::vector<std::string>& zones) {
  const bool is_known = std::find(zones.begin(), zones.end(), zone) != zones.end();
  if (table.Has(key) && !is_known) table.Report(key, "is \"" + zone + "\", which zones does not name");
}

ZoneFailoverSettings::Link ReadLink(TableReader& table, const ZoneFailoverSettings& settings) {
  ZoneFailoverSettings::Link link;
  table.Require("from", "a zone");
  table.Require("to", "another zone");
  link.from = table.Text("from");
  link.to = table.Text("to");
  CheckLinkZone(table, "from", link.from, settings.zones);
  CheckLinkZone(table, "to", link.to, settings.zones);
  if (table.Has("to") && link.from == link.to) table.Report("to", "is the zone itself");
  link.round_trip = table.Duration("round_trip", settings.round_trip, milliseconds(0), kMaxRoundTrip);
  link.transfer_price_percent = static_cast<int>(
      table.Integer("price_percent", settings.transfer_price_percent, 0, kMaxTransferPricePercent));
  table.Finish();
  return link;
}

ZoneFailoverSettings ReadZoneFailover(TableReader& table, Problems* warnings) {
  ZoneFailoverSettings settings;
  RequireEtcdInBuild(table);
  settings.coordinated = ReadCoordinated(table);
  static_cast<EtcdConnectionSettings&>(settings) = ReadRegionsEtcdConnection(table);
  settings.prefix = ReadPrefix(table, "prefix", settings.prefix);
  settings.zones = ReadZones(table);
  if (auto warning = ReadLeaseAndHeartbeat(table, &settings)) warnings->push_back(std::move(*warning));
  settings.grant_hold = table.Duration("hold", settings.grant_hold, kMinGrantHold, kMaxGrantHold);
  settings.recovery_step = table.Duration("step", settings.recovery_step, kMinRecoveryStep, kMaxRecoveryStep);
  settings.round_trip = table.Duration("round_trip", settings.round_trip, milliseconds(0), kMaxRoundTrip);
  settings.transfer_price_percent = static_cast<int>(
      table.Integer("price_percent", settings.transfer_price_percent, 0, kMaxTransferPricePercent));
  for (const auto& link : table.Tables("link")) settings.links.push_back(ReadLink(*link, settings));
  table.Finish();
  return settings;
}

// Copies the connection settings of [etcd] to [regions], unless it has its own or needs none.
void CopyEtcdConnection(TableReader& root, OperatorFile* file) {
  ZoneFailoverSettings& zone_failover = *file->zone_failover;
  if (!zone_failover.coordinated || !zone_failover.endpoints.empty()) return;
  if (!file->etcd) {
    root.Report("regions",
                "needs endpoints = [\"127.0.0.1:2379\"], or an [etcd] table that says where etcd is");
    return;
  }
  const EtcdConnectionSettings& shared = *file->etcd;
  static_cast<EtcdConnectionSettings&>(zone_failover) = shared;
}

}  // namespace

EtcdConnectionSettings ReadEtcdConnection(TableReader& table) {
  EtcdConnectionSettings settings;
  settings.endpoints = table.Texts("endpoints");
  for (const std::string& endpoint : settings.endpoints) {
    if (!IsEndpoint(endpoint))
      table.Report("endpoints", "holds \"" + endpoint +
                                    "\", which is no address and port; \"127.0.0.1:2379\" would be right");
  }
  const bool is_valid_count = !settings.endpoints.empty() && settings.endpoints.size() <= kMaxEtcdMembers;
  if (table.Has("endpoints") && !is_valid_count) table.Report("endpoints", "must name 1 to 16 members");
  settings.user = table.Text("user");
  settings.password_file = table.Text("password_file");
  if (settings.user.empty() != settings.password_file.empty())
    table.Report(settings.user.empty() ? "password_file" : "user",
                 "stands alone; user and password_file belong together");
  settings.certificate = table.Text("certificate");
  settings.key = table.Text("key");
  settings.ca_certificate = table.Text("authority_certificate");
  settings.server_name = table.Text("server_name");
  if (settings.certificate.empty() != settings.key.empty() ||
      settings.certificate.empty() != settings.ca_certificate.empty())
    table.Report("certificate", "key and authority_certificate belong together: all three for TLS, or none");
  settings.ping_interval = table.Duration("ping_every", settings.ping_interval, kMinPingTime, kMaxPingTime);
  settings.ping_timeout = table.Duration("ping_timeout", settings.ping_timeout, kMinPingTime, kMaxPingTime);
  return settings;
}

OperatorFile ParseOperatorFile(std::string_view text, const std::string& file) {
  OperatorFile parsed;
  const Result<toml::table> root = ParseToml(text, file);
  if (!root) {
    parsed.problems.push_back(root.error());
    return parsed;
  }
  TableReader reader(*root, "", file, parsed.problems);
  if (const auto table = reader.Table("control")) parsed.admin_api = ReadAdminApi(*table);
  if (const auto table = reader.Table("etcd")) parsed.etcd = ReadEtcd(*table);
  if (const auto table = reader.Table("regions"))
    parsed.zone_failover = ReadZoneFailover(*table, &parsed.warnings);
  if (parsed.zone_failover) CopyEtcdConnection(reader, &parsed);
  reader.Finish();
  return parsed;
}

OperatorFile LoadOperatorFile(const std::string& path) {
  const Result<std::string> text = ReadFile(path, kMaxFileBytes);
  if (text) return ParseOperatorFile(*text, path);
  OperatorFile unreadable;
  unreadable.problems.push_back(text.error());
  return unreadable;
}

}  // namespace badgerbridge::operator_config
