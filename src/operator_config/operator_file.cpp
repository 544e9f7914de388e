// SPDX-License-Identifier: Apache-2.0
#include "operator_config/operator_file.h"

#include <algorithm>
#include <set>

#include "http_api/address.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::operator_config {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostSocketPath = 107;  // sun_path, unix(7), less its end

AdminApiSettings ReadControl(TableReader& table) {
  AdminApiSettings control;
  table.Require("socket", "the path of a Unix domain socket, as in socket = \"/run/badgerbridge/n1.sock\"");
  control.socket = table.Text("socket");
  if (table.Has("socket") && (control.socket.empty() || control.socket.front() != '/'))
    table.Report("socket", "is no absolute path; one that begins with / would be right");
  if (control.socket.size() > kMostSocketPath)
    table.Report("socket", "is longer than the 107 bytes that a Unix socket's path may have");
  control.max_connections = static_cast<std::size_t>(
      table.Whole("max_connections", static_cast<std::int64_t>(control.max_connections), 1, 64));
  control.request_timeout =
      table.Duration("request_timeout", control.request_timeout, milliseconds(100), milliseconds(60000));
  control.idle_timeout =
      table.Duration("idle_timeout", control.idle_timeout, milliseconds(100), milliseconds(3600000));
  if (control.idle_timeout < control.request_timeout)
    table.Report(table.Has("idle_timeout") ? "idle_timeout" : "request_timeout",
                 "contradicts the other time-out: idle_timeout (" + FormatDuration(control.idle_timeout) +
                     ") must not be shorter than request_timeout (" +
                     FormatDuration(control.request_timeout) + ")");
  for (const std::int64_t uid : table.Wholes("allow_uids", 0, 4294967294))
    control.allow_uids.push_back(static_cast<uid_t>(uid));
  table.Finish();
  return control;
}

bool GoodAddress(const std::string& text) {
  const auto endpoint = http_api::ParseAddress(text);
  return endpoint && endpoint->port() > 0;
}

void ReadPrefix(TableReader& table, std::string& prefix, const char* key = "prefix") {
  const std::string usual = prefix;
  prefix = table.Text(key, usual);
  if (prefix.empty() || prefix.size() > 512)
    table.Report(key, "is empty or too long; \"" + usual + "\" would be right");
}

void NeedsEtcd([[maybe_unused]] TableReader& table) {
#ifndef BADGERBRIDGE_HAS_ETCD
  table.Report("", "names a subsystem that this build is without; build with -DBADGERBRIDGE_ETCD=ON");
#endif
}

constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxServiceName = 128;

// Which services a proxy follows.
void ReadServices(TableReader& table, EtcdSettings& etcd) {
  etcd.services = table.Texts("services");
  ReadPrefix(table, etcd.services_prefix, "services_prefix");
  if (etcd.services.size() > kMaxServices)
    table.Report("services", "names " + std::to_string(etcd.services.size()) + "; at most " +
                                 std::to_string(kMaxServices) + " would be right");
  std::set<std::string> seen;
  for (const std::string& service : etcd.services) {
    if (service.empty() || service.size() > kMaxServiceName || service.find('/') != std::string::npos)
      table.Report("services", "names \"" + service.substr(0, kMaxServiceName) + "\"; a name of 1 to " +
                                   std::to_string(kMaxServiceName) + " characters without / would be right");
    if (!seen.insert(service).second) table.Report("services", "names " + service + " twice");
  }
}

EtcdSettings ReadEtcd(TableReader& table) {
  EtcdSettings etcd;
  NeedsEtcd(table);
  table.Require("endpoints", "the members' addresses, as in endpoints = [\"127.0.0.1:2379\"]");
  ReadEtcdLink(table, etcd);
  ReadPrefix(table, etcd.prefix);
  ReadServices(table, etcd);
  const std::string authority = table.Text("authority", "etcd");
  if (authority != "etcd" && authority != "discovery")
    table.Report("authority", "is \"" + authority + "\"; etcd or discovery would be right");
  etcd.authority = authority == "etcd";
  etcd.most_departures_percent = static_cast<int>(table.Whole("most_departures_percent", 50, 1, 100));
  table.Finish();
  return etcd;
}

constexpr std::size_t kMostZones = 64;

ZoneFailoverSettings ReadRegions(TableReader& table, Problems& warnings) {
  ZoneFailoverSettings regions;
  NeedsEtcd(table);
  const std::string decide = table.Text("decide", "together");
  if (decide != "together" && decide != "alone")
    table.Report("decide", "is \"" + decide + "\"; together or alone would be right");
  regions.together = decide != "alone";
  ReadEtcdLink(table, regions);
  for (const char* key : {"user", "password_file", "certificate", "key", "authority_certificate",
                          "server_name", "ping_every", "ping_timeout"}) {
    if (table.Has(key) && !table.Has("endpoints"))
      table.Report(key, "stands without endpoints: then all of the way to etcd is that of [etcd]");
  }
  ReadPrefix(table, regions.prefix);
  table.Require("zones",
                "the zones in the order of the proxies' configuration, as in zones = [\"a\", \"b\"]");
  regions.zones = table.Texts("zones");
  if (table.Has("zones") && (regions.zones.empty() || regions.zones.size() > kMostZones))
    table.Report("zones", "must name 1 to 64 zones");
  const auto known = [&](const std::string& zone) {
    return std::find(regions.zones.begin(), regions.zones.end(), zone) != regions.zones.end();
  };
  for (std::size_t i = 0; i < regions.zones.size(); ++i) {
    if (std::find(regions.zones.begin(), regions.zones.begin() + static_cast<std::ptrdiff_t>(i),
                  regions.zones[i]) != regions.zones.begin() + static_cast<std::ptrdiff_t>(i))
      table.Report("zones", "names " + regions.zones[i] + " twice");
  }
  regions.lease = table.Duration("lease", regions.lease, milliseconds(1000), milliseconds(60000));
  if (regions.lease.count() % 1000 != 0)
    table.Report("lease", "is no whole number of seconds; \"3s\" would be right");
  const std::string_view heartbeat = table.Spelling("heartbeat", "beat", warnings);
  regions.heartbeat = table.Duration(heartbeat, regions.heartbeat, milliseconds(50), milliseconds(10000));
  if (regions.heartbeat * 3 > regions.lease)
    table.Report(table.Has(heartbeat) ? heartbeat : "lease",
                 "contradicts the other time: three heartbeats (" + FormatDuration(regions.heartbeat) +
                     ") must fit into a lease (" + FormatDuration(regions.lease) + ")");
  regions.hold = table.Duration("hold", regions.hold, milliseconds(500), milliseconds(600000));
  regions.step = table.Duration("step", regions.step, milliseconds(100), milliseconds(60000));
  regions.round_trip = table.Duration("round_trip", regions.round_trip, milliseconds(0), milliseconds(10000));
  regions.price_percent = static_cast<int>(table.Whole("price_percent", regions.price_percent, 0, 1000));
  for (const auto& link : table.Tables("link")) {
    ZoneFailoverSettings::Link one;
    link->Require("from", "a zone");
    link->Require("to", "another zone");
    one.from = link->Text("from");
    one.to = link->Text("to");
    for (const char* end : {"from", "to"}) {
      const std::string& zone = end == std::string("from") ? one.from : one.to;
      if (link->Has(end) && !known(zone)) link->Report(end, "is \"" + zone + "\", which zones does not name");
    }
    if (link->Has("to") && one.from == one.to) link->Report("to", "is the zone itself");
    one.round_trip = link->Duration("round_trip", regions.round_trip, milliseconds(0), milliseconds(10000));
    one.price_percent = static_cast<int>(link->Whole("price_percent", regions.price_percent, 0, 1000));
    link->Finish();
    regions.links.push_back(std::move(one));
  }
  table.Finish();
  return regions;
}

// Where [regions] says nothing of etcd, it is the one of [etcd].
void LinkRegions(TableReader& table, OperatorFile& file) {
  ZoneFailoverSettings& regions = *file.regions;
  if (!regions.together || !regions.endpoints.empty()) return;
  if (file.etcd) {
    const EtcdConnectionSettings& link = *file.etcd;
    static_cast<EtcdConnectionSettings&>(regions) = link;
    return;
  }
  table.Report("regions",
               "needs endpoints = [\"127.0.0.1:2379\"], or an [etcd] table that says where etcd is");
}

}  // namespace

void ReadEtcdLink(TableReader& table, EtcdConnectionSettings& etcd) {
  etcd.endpoints = table.Texts("endpoints");
  for (const std::string& endpoint : etcd.endpoints) {
    if (!GoodAddress(endpoint))
      table.Report("endpoints", "holds \"" + endpoint +
                                    "\", which is no address and port; \"127.0.0.1:2379\" would be right");
  }
  if (table.Has("endpoints") && (etcd.endpoints.empty() || etcd.endpoints.size() > 16))
    table.Report("endpoints", "must name 1 to 16 members");
  etcd.user = table.Text("user");
  etcd.password_file = table.Text("password_file");
  if (etcd.user.empty() != etcd.password_file.empty())
    table.Report(etcd.user.empty() ? "password_file" : "user",
                 "stands alone; user and password_file belong together");
  etcd.certificate = table.Text("certificate");
  etcd.key = table.Text("key");
  etcd.client_authority = table.Text("authority_certificate");
  etcd.server_name = table.Text("server_name");
  if (etcd.certificate.empty() != etcd.key.empty() ||
      etcd.certificate.empty() != etcd.client_authority.empty())
    table.Report("certificate", "key and authority_certificate belong together: all three for TLS, or none");
  etcd.ping_every = table.Duration("ping_every", etcd.ping_every, milliseconds(20), milliseconds(60000));
  etcd.ping_timeout =
      table.Duration("ping_timeout", etcd.ping_timeout, milliseconds(20), milliseconds(60000));
}

OperatorFile Parse(std::string_view text, const std::string& file, Problems& problems) {
  OperatorFile out;
  const auto root = ParseToml(text, file, problems);
  if (!root) return out;
  TableReader reader(*root, "", file, problems);
  if (const auto control = reader.Table("control")) out.control = ReadControl(*control);
  if (const auto etcd = reader.Table("etcd")) out.etcd = ReadEtcd(*etcd);
  if (const auto regions = reader.Table("regions")) out.regions = ReadRegions(*regions, out.warnings);
  if (out.regions) LinkRegions(reader, out);
  reader.Finish();
  return out;
}

OperatorFile Load(const std::string& path, Problems& problems) {
  const auto text = ReadFile(path, kMostBytes, problems);
  return text ? Parse(*text, path, problems) : OperatorFile{};
}

}  // namespace badgerbridge::operator_config
