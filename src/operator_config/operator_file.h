// SPDX-License-Identifier: Apache-2.0
//
// The operator's own file: what this installation switches on beyond what the platform tells a proxy. One
// table a subsystem; a subsystem whose table is absent is off and costs nothing. deploy/operator.toml lists
// every key.
#ifndef BADGERBRIDGE_OPERATOR_CONFIG_OPERATOR_FILE_H_
#define BADGERBRIDGE_OPERATOR_CONFIG_OPERATOR_FILE_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "operator_config/problem.h"

namespace badgerbridge::operator_config {

struct AdminApiSettings {
  std::string socket;               // path of the Unix domain socket; at most 107 bytes
  std::size_t max_connections = 8;  // at the limit, silent ones make room
  std::chrono::milliseconds request_timeout{
      2000};                                      // for a request to be whole, and for its answer to be read
  std::chrono::milliseconds idle_timeout{30000};  // between requests
  std::vector<uid_t> allow_uids;                  // beside the proxy's own and root
};

// How etcd is reached.
struct EtcdConnectionSettings {
  std::vector<std::string> endpoints;  // address:port, without names to resolve
  std::string user, password_file;
  std::string certificate, key, client_authority, server_name;  // TLS, if certificate is given
  std::chrono::milliseconds ping_every{150}, ping_timeout{100};
};

// Membership from etcd, beside discovery.
struct EtcdSettings : EtcdConnectionSettings {
  std::string prefix = "/badgerbridge/converters/";
  // The services whose members are followed, and no others; empty: all members, under `prefix`. The keys are
  // services_prefix + service + "/" + name.
  std::vector<std::string> services;
  std::string services_prefix = "/badgerbridge/services/";
  bool authority = true;  // joins need etcd's word; else discovery's, and etcd tells drains and departures
  int most_departures_percent = 50;
};

// How much goes to each zone, decided in common by all proxies (docs/zone_failover.md).
struct ZoneFailoverSettings : EtcdConnectionSettings {  // without endpoints of its own: those of [etcd]
  struct Link {                                         // there and back alike
    std::string from, to;
    std::chrono::milliseconds round_trip{1};
    int price_percent = 10;
  };
  bool together = true;  // false: by own evidence alone, and etcd is not asked
  std::string prefix = "/badgerbridge/regions/";
  std::vector<std::string> zones;  // in the order of the proxies' configuration
  std::chrono::milliseconds lease{3000}, heartbeat{250}, hold{5000}, step{400};
  std::chrono::milliseconds round_trip{1};  // between two zones of which no link speaks
  int price_percent = 10;                   // of work that crosses, likewise
  std::vector<Link> links;
};

struct OperatorFile {
  std::optional<AdminApiSettings> control;
  std::optional<EtcdSettings> etcd;
  std::optional<ZoneFailoverSettings> regions;
  Problems warnings;  // former names of keys: they go on working
};

constexpr std::size_t kMostBytes = 1 << 20;

// Checks the whole text. What it gives counts only if no problem was added.
OperatorFile Parse(std::string_view text, const std::string& file, Problems& problems);
OperatorFile Load(const std::string& path, Problems& problems);

// The keys of an EtcdConnectionSettings in a table of another file; the caller finishes the table.
class TableReader;
void ReadEtcdLink(TableReader& table, EtcdConnectionSettings& link);

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_OPERATOR_FILE_H_
