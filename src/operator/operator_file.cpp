// SPDX-License-Identifier: Apache-2.0
#include "operator/operator_file.h"

#include "api/address.h"
#include "operator/table_reader.h"

namespace badgerbridge::operator_file {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostSocketPath = 107;  // sun_path, unix(7), less its end

Control ReadControl(TableReader& table) {
  Control control;
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
  const auto endpoint = api::ParseAddress(text);
  return endpoint && endpoint->port() > 0;
}

Etcd ReadEtcd(TableReader& table) {
  Etcd etcd;
#ifndef BADGERBRIDGE_HAS_ETCD
  table.Report("", "names a subsystem that this build is without; build with -DBADGERBRIDGE_ETCD=ON");
#endif
  table.Require("endpoints", "the members' addresses, as in endpoints = [\"127.0.0.1:2379\"]");
  etcd.endpoints = table.Texts("endpoints");
  for (const std::string& endpoint : etcd.endpoints) {
    if (!GoodAddress(endpoint))
      table.Report("endpoints", "holds \"" + endpoint +
                                    "\", which is no address and port; \"127.0.0.1:2379\" would be right");
  }
  if (table.Has("endpoints") && (etcd.endpoints.empty() || etcd.endpoints.size() > 16))
    table.Report("endpoints", "must name 1 to 16 members");
  etcd.prefix = table.Text("prefix", etcd.prefix);
  if (etcd.prefix.empty() || etcd.prefix.size() > 512)
    table.Report("prefix", "is empty or too long; \"/badgerbridge/converters/\" would be right");
  const std::string authority = table.Text("authority", "etcd");
  if (authority != "etcd" && authority != "discovery")
    table.Report("authority", "is \"" + authority + "\"; etcd or discovery would be right");
  etcd.authority = authority == "etcd";
  etcd.most_departures_percent = static_cast<int>(table.Whole("most_departures_percent", 50, 1, 100));
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
  table.Finish();
  return etcd;
}

}  // namespace

OperatorFile Parse(std::string_view text, const std::string& file, Problems& problems) {
  OperatorFile out;
  const auto root = ParseToml(text, file, problems);
  if (!root) return out;
  TableReader reader(*root, "", file, problems);
  if (const auto control = reader.Table("control")) out.control = ReadControl(*control);
  if (const auto etcd = reader.Table("etcd")) out.etcd = ReadEtcd(*etcd);
  reader.Finish();
  return out;
}

OperatorFile Load(const std::string& path, Problems& problems) {
  const auto text = ReadFile(path, kMostBytes, problems);
  return text ? Parse(*text, path, problems) : OperatorFile{};
}

}  // namespace badgerbridge::operator_file
