// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The fleet file (TOML): what an agent keeps on its machine, and how it is reached. deploy/fleet.toml lists
/// every key.
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

/// The agent's API over TLS. Files are PEM.
struct TlsSettings {
  std::string listen;                           ///< address:port
  std::string certificate;                      ///< path of the agent's certificate chain
  std::string key;                              ///< path of its private key
  std::string client_ca;                        ///< path of the authority of client certificates
  std::map<std::string, http_api::Role> roles;  ///< by a client certificate's common name
};

/// The [agent] table.
struct AgentSettings {
  std::string name;                                ///< what tools call this agent
  std::string state_dir;                           ///< absolute path of the directory of its state
  std::string socket;                              ///< absolute path of its API's Unix socket
  std::vector<uid_t> allow_uids;                   ///< peers on the socket beside its own uid and root
  std::size_t max_connections = 32;                ///< to each of its servers
  std::optional<TlsSettings> tls;                  ///< nothing: no TLS
  std::chrono::milliseconds poll_interval{5000};   ///< between two polls of an idle instance
  std::uint64_t max_log_bytes = 8 << 20;           ///< of an instance's log; one old file is kept as well
  std::chrono::milliseconds initial_backoff{200};  ///< before the first restart after a crash
  std::chrono::milliseconds max_backoff{10000};    ///< before any restart
  std::chrono::milliseconds min_uptime{10000};     ///< a process that ended sooner has crashed
  int max_consecutive_crashes = 5;                 ///< then an instance is given up
};

/// A whole fleet file.
struct FleetFile {
  AgentSettings agent;                        ///< the [agent] table
  std::vector<InstanceDefinition> instances;  ///< the [[instance]] tables, in the order of the file
};

constexpr std::size_t kMaxFleetFileBytes = 1 << 20;  ///< of a fleet file's text

/// Checks the whole text, and the operator's files that it names. `file` is the name for the problems, all of
/// which are appended to `problems`; the result counts only if none was.
FleetFile ParseFleetFile(std::string_view text, const std::string& file, operator_config::Problems& problems);

/// Reads and parses the file at `path`, with the same rules.
FleetFile LoadFleetFile(const std::string& path, operator_config::Problems& problems);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_FLEET_FILE_H_
