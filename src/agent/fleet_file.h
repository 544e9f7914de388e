// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The fleet file (TOML): the instances of an agent and the settings of the agent. deploy/fleet.toml lists
/// all keys.
#ifndef BADGERBRIDGE_AGENT_FLEET_FILE_H_
#define BADGERBRIDGE_AGENT_FLEET_FILE_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/instance_definition.h"
#include "http_api/message.h"
#include "operator_config/problem.h"

namespace badgerbridge::agent {

/// The [agent.tls] table: the agent's API over TLS. All files are PEM.
struct TlsSettings {
  std::string listen;                           ///< address:port
  std::string certificate;                      ///< path of the agent's certificate chain
  std::string key;                              ///< path of the private key of the certificate
  std::string client_ca;                        ///< path of the CA certificates that verify clients
  std::map<std::string, http_api::Role> roles;  ///< by common name of the client certificate
};

/// The [agent] table.
struct AgentSettings {
  std::string name;                  ///< name under which tools show this agent
  std::string state_dir;             ///< absolute path of the state directory
  std::string socket;                ///< absolute path of the Unix socket of the API
  std::vector<uid_t> allow_uids;     ///< allowed socket peers besides root and the agent's own uid
  std::size_t max_connections = 32;  ///< per server: Unix socket and TLS
  std::optional<TlsSettings> tls;    ///< nullopt: no TLS
  std::chrono::milliseconds poll_interval{5000};   ///< between two polls of an idle instance
  std::uint64_t max_log_bytes = 8 << 20;           ///< per instance log; one rotated file is kept as well
  std::chrono::milliseconds initial_backoff{200};  ///< after the first crash; doubles with each further one
  std::chrono::milliseconds max_backoff{10000};    ///< upper bound of the backoff
  std::chrono::milliseconds min_uptime{10000};     ///< a process that ends earlier counts as crashed
  int max_consecutive_crashes = 5;                 ///< restarts of the instance stop at this number
};

/// A parsed fleet file.
struct FleetFile {
  AgentSettings agent;                        ///< the [agent] table
  std::vector<InstanceDefinition> instances;  ///< the [[instance]] tables, in file order
};

constexpr std::size_t kMaxFleetFileBytes = 1 << 20;  ///< size limit of a fleet file

/// Parses and checks the text and the operator files that it names. `file` names the text in problems.
/// Appends all problems to `problems`; the result is valid only if there were none.
FleetFile ParseFleetFile(std::string_view text, const std::string& file, operator_config::Problems& problems);

/// Like ParseFleetFile(), for the file at `path`.
FleetFile LoadFleetFile(const std::string& path, operator_config::Problems& problems);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_FLEET_FILE_H_
