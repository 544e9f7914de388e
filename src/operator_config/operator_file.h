// SPDX-License-Identifier: Apache-2.0
//
// The operator's own file (TOML): what this installation switches on beyond what the platform gives to a
// proxy. One table for each subsystem; a subsystem whose table is absent is off and costs nothing.
// deploy/operator.toml lists every key.
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
  std::size_t max_connections = 8;                  ///< at the limit, idle ones are closed for others
  std::chrono::milliseconds request_timeout{2000};  ///< for a request to be complete, and its answer read
  std::chrono::milliseconds idle_timeout{30000};    ///< between requests
  std::vector<uid_t> allow_uids;                    ///< peers beside the proxy's own uid and root
};

/// How etcd is reached.
struct EtcdConnectionSettings {
  std::vector<std::string> endpoints;  ///< address:port, without names to resolve
  std::string user;                    ///< empty: without authentication
  std::string password_file;           ///< path of the file that holds the user's password
  std::string certificate;             ///< path of the client's certificate, PEM; empty: no TLS
  std::string key;                     ///< path of its private key, PEM
  std::string ca_certificate;          ///< path of the certificate of the members' authority, PEM
  std::string server_name;             ///< that the members' certificates must be for; empty: the address
  std::chrono::milliseconds ping_interval{150};  ///< without a received byte, until a PING is sent
  std::chrono::milliseconds ping_timeout{100};   ///< for the answer to a ping
};

/// The [etcd] table: membership from etcd, beside discovery.
struct EtcdSettings : EtcdConnectionSettings {
  std::string prefix = "/badgerbridge/converters/";  ///< of the members' keys, if `services` is empty
  /// The services whose members are followed; empty: all members under `prefix`. The keys are
  /// services_prefix, the service, "/" and the member's name.
  std::vector<std::string> services;
  std::string services_prefix = "/badgerbridge/services/";  ///< of the services' keys
  /// Whether a member joins by what etcd reports; else by what discovery reports, and etcd only adds drains
  /// and departures.
  bool is_authoritative = true;
  int max_departures_percent = 50;  ///< of the members, at a time; more are held until they are confirmed
};

/// The [regions] table: how much goes to each zone, decided in common by all proxies (docs/zone_failover.md).
/// Its connection to etcd is that of [etcd], unless it names endpoints of its own.
struct ZoneFailoverSettings : EtcdConnectionSettings {
  /// What sending from one zone to another takes, both ways alike.
  struct Link {
    std::string from;                         ///< one zone
    std::string to;                           ///< the other one
    std::chrono::milliseconds round_trip{1};  ///< between the two
    int transfer_price_percent = 10;          ///< of the work that crosses
  };
  bool coordinated = true;  ///< false: each proxy decides by its own reports, without etcd
  std::string prefix = "/badgerbridge/regions/";  ///< of the keys in etcd
  std::vector<std::string> zones;                 ///< in the order of the proxies' configuration
  std::chrono::milliseconds lease{3000};          ///< time to live of a proxy's lease; whole seconds
  std::chrono::milliseconds heartbeat{250};       ///< between two reports of a proxy
  std::chrono::milliseconds grant_hold{5000};     ///< how long, without etcd, quotas outlive the lease
  std::chrono::milliseconds recovery_step{400};   ///< between two steps of a recovery ramp
  std::chrono::milliseconds round_trip{1};        ///< between two zones without a link
  int transfer_price_percent = 10;                ///< of work that crosses between two zones without a link
  std::vector<Link> links;                        ///< the pairs of zones that differ from these defaults
};

/// A parsed file.
struct OperatorFile {
  std::optional<AdminApiSettings> admin_api;          ///< the [control] table
  std::optional<EtcdSettings> etcd;                   ///< the [etcd] table
  std::optional<ZoneFailoverSettings> zone_failover;  ///< the [regions] table
  Problems problems;                                  ///< all errors; the settings count only without any
  Problems warnings;                                  ///< former names of keys, which still work

  /// Whether the file has no error.
  bool ok() const { return problems.empty(); }
};

/// The largest file that is read, in bytes.
constexpr std::size_t kMaxFileBytes = 1 << 20;

/// Parses and checks a file's text. `file` is its name for messages.
OperatorFile ParseOperatorFile(std::string_view text, const std::string& file);

/// Reads and parses a file. A file that cannot be read is a problem, too.
OperatorFile LoadOperatorFile(const std::string& path);

/// Reads the keys of a connection to etcd from a table of any file; the caller finishes the table.
EtcdConnectionSettings ReadEtcdConnection(TableReader& table);

}  // namespace badgerbridge::operator_config

#endif  // BADGERBRIDGE_OPERATOR_CONFIG_OPERATOR_FILE_H_
