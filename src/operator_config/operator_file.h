// SPDX-License-Identifier: Apache-2.0
//
// The operator's configuration file (TOML). It enables subsystems that the platform's settings do not cover,
// with one table for each. A subsystem whose table is absent is off and has no cost. deploy/operator.toml
// lists every key.
#ifndef BADGERBRIDGE_OPERATOR_CONFIG_OPERATOR_FILE_H_
#define BADGERBRIDGE_OPERATOR_CONFIG_OPERATOR_FILE_H_

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "operator_config/problem.h"

namespace badgerbridge::operator_config {

class TableReader;

/// The [control] table: the proxy's admin API.
struct AdminApiSettings {
  std::string socket;                               ///< path of the Unix domain socket; at most 107 bytes
  std::size_t max_connections = 8;                  ///< at the limit, idle ones are closed for new ones
  std::chrono::milliseconds request_timeout{2000};  ///< to receive a request, and to send its response
  std::chrono::milliseconds idle_timeout{30000};    ///< between requests
  std::vector<uid_t> allow_uids;                    ///< peers allowed besides the proxy's own uid and root
};

/// The connection to etcd.
struct EtcdConnectionSettings {
  std::vector<std::string> endpoints;  ///< address:port, numeric addresses only
  std::string user;                    ///< empty: without authentication
  std::string password_file;           ///< path of the file that holds the user's password
  std::string certificate;             ///< path of the client's certificate, PEM; empty: no TLS
  std::string key;                     ///< path of its private key, PEM
  std::string ca_certificate;          ///< path of the CA certificate of the members, PEM
  std::string server_name;             ///< expected in the members' certificates; empty: the address
  std::chrono::milliseconds ping_interval{150};  ///< time without a received byte before a PING is sent
  std::chrono::milliseconds ping_timeout{100};   ///< for the response to a PING
};

/// The [etcd] table: membership from etcd, in addition to discovery.
struct EtcdSettings : EtcdConnectionSettings {
  std::string prefix = "/badgerbridge/converters/";  ///< of the members' keys if `services` is empty
  /// The services whose members are watched; empty: all members under `prefix`. A key consists of
  /// services_prefix, the service, "/" and the member's name.
  std::vector<std::string> services;
  std::string services_prefix = "/badgerbridge/services/";  ///< of the services' keys
  /// True: etcd decides which members join. False: discovery does, and etcd only adds drains and departures.
  bool is_authoritative = true;
  /// Largest percentage of the ready members that may depart within a short window. Members whose departure
  /// exceeds it are retained until it is confirmed.
  int max_departures_percent = 50;
};

/// The [regions] table: zone failover, which distributes load over the zones in coordination with all proxies
/// (docs/zone_failover.md). It uses the etcd connection of [etcd], unless it has its own endpoints.
struct ZoneFailoverSettings : EtcdConnectionSettings {
  /// Latency and cost between two zones, the same in both directions.
  struct Link {
    std::string from;                         ///< one zone
    std::string to;                           ///< the other zone
    std::chrono::milliseconds round_trip{1};  ///< between the two zones
    int transfer_price_percent = 10;          ///< cost of a transfer, in % of the transferred work
  };
  bool coordinated = true;  ///< false: each proxy decides on its own reports only, without etcd
  std::string prefix = "/badgerbridge/regions/";  ///< of the keys in etcd
  std::vector<std::string> zones;                 ///< in the order of the proxies' configuration
  std::chrono::milliseconds lease{3000};          ///< time to live of a proxy's lease; whole seconds
  std::chrono::milliseconds heartbeat{250};       ///< interval of a proxy's reports
  std::chrono::milliseconds grant_hold{5000};     ///< how long quotas outlive the lease without etcd
  std::chrono::milliseconds recovery_step{400};   ///< interval of the steps of a recovery ramp
  std::chrono::milliseconds round_trip{1};        ///< between two zones without a link
  int transfer_price_percent = 10;                ///< as in Link, for two zones without a link
  std::vector<Link> links;                        ///< pairs of zones that differ from these defaults
};

/// A parsed file.
struct OperatorFile {
  std::optional<AdminApiSettings> admin_api;          ///< the [control] table
  std::optional<EtcdSettings> etcd;                   ///< the [etcd] table
  std::optional<ZoneFailoverSettings> zone_failover;  ///< the [regions] table
  Problems problems;  ///< all errors; if there is any, the settings must not be used
  Problems warnings;  ///< deprecated key names, which still work

  /// Whether the file has no error.
  bool ok() const { return problems.empty(); }
};

/// The size limit of a file, in bytes; a larger file is a problem.
constexpr std::size_t kMaxFileBytes = 1 << 20;

/// Parses and validates a file's text. `file` is the file name in messages.
OperatorFile ParseOperatorFile(std::string_view text, const std::string& file);

/// Reads and parses a file. A file that cannot be read is reported in OperatorFile::problems.
OperatorFile LoadOperatorFile(const std::string& path);

/// Reads the keys of an etcd connection from any table; the caller reads the table's other keys and calls
/// Finish().
EtcdConnectionSettings ReadEtcdConnection(TableReader& table);

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_OPERATOR_FILE_H_
