// SPDX-License-Identifier: Apache-2.0
//
// The fleet file: what an agent keeps on its machine, and how it is reached. deploy/fleet.toml lists every
// key.
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

#include "http_api/message.h"
#include "operator_config/problem.h"

namespace badgerbridge::agent {

struct TlsSettings {
  std::string listen;                           // address:port
  std::string certificate, key, client_ca;      // PEM files
  std::map<std::string, http_api::Role> roles;  // by a client certificate's common name
};

struct AgentSettings {
  std::string name, state_dir, socket;
  std::vector<uid_t> allow_uids;
  std::size_t max_connections = 32;
  std::optional<TlsSettings> tls;
  std::chrono::milliseconds poll{5000};  // between two looks at an idle instance
  std::uint64_t log_bytes = 8 << 20;     // of an instance's log; its forerunner is kept as well
  std::chrono::milliseconds first_backoff{200}, most_backoff{10000}, short_life{10000};
  int most_deaths = 5;
};

// How one instance is started. As JSON it is what orders carry and what the agent stores.
struct Definition {
  std::string name;
  std::vector<std::string> command;  // the program, by path, and its arguments
  std::map<std::string, std::string> environment;
  std::string listen;          // ROUTER_LISTEN; empty: as the configuration says
  std::string operator_file;   // with a [control] table: the agent asks and commands there
  std::string control_socket;  // what stands there; read when the fleet file is
  std::string working_directory;
  std::map<std::string, std::string> labels;
  std::int64_t descriptors = 0, address_space_mb = 0;  // limits of the process; 0: as the agent's own

  friend bool operator==(const Definition&, const Definition&) = default;
};

struct FleetFile {
  AgentSettings agent;
  std::vector<Definition> instances;
};

constexpr std::size_t kMostFleetBytes = 1 << 20;

// Checks the whole text, and the operator's files that it names. What it gives counts only if no problem was
// added.
FleetFile ParseFleet(std::string_view text, const std::string& file, operator_config::Problems& problems);
FleetFile LoadFleet(const std::string& path, operator_config::Problems& problems);

std::string ToText(const Definition& definition);  // JSON, members in a fixed order
Definition DefinitionOf(std::string_view text);    // throws std::exception if it is none

// What has to be done to go from one set of definitions to the other; both as ToText gives them, by name.
struct Change {
  std::string instance;
  enum class Kind { kAdd, kChange, kRemove } kind = Kind::kAdd;
  std::string text;  // which members differ
};
std::vector<Change> Diff(const std::map<std::string, std::string>& from,
                         const std::map<std::string, std::string>& to);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_FLEET_FILE_H_
