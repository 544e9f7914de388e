// SPDX-License-Identifier: Apache-2.0
#include "agent/fleet_file.h"

#include <algorithm>
#include <utility>

#include "http_api/address.h"
#include "operator_config/operator_file.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::agent {
namespace {

using operator_config::Problems;
using operator_config::TableReader;
using std::chrono::milliseconds;

constexpr std::size_t kMaxSocketPathLength = 107;  // bytes, of sockaddr_un (unix(7))
constexpr std::size_t kMaxNameLength = 64;         // bytes

bool IsNameCharacter(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') || character == '-' || character == '_' || character == '.';
}

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), IsNameCharacter) && name.front() != '.' && name.front() != '-';
}

bool IsAbsolutePath(const std::string& path) { return path.starts_with('/'); }

bool IsEnvironmentVariable(const std::string& name, const std::string& value) {
  return !name.empty() && name.find('=') == std::string::npos && name.find('\0') == std::string::npos &&
         value.find('\0') == std::string::npos;
}

void CheckName(TableReader& table, const std::string& name) {
  if (table.Has("name") && !IsValidName(name))
    table.Report("name", "is not 1 to 64 letters, digits, '-', '_' or '.', the first a letter or digit");
}

std::string ReadPemPath(TableReader& table, const char* key) {
  table.Require(key, "the path of a PEM file");
  return table.Text(key);
}

std::map<std::string, http_api::Role> ReadRoles(TableReader& table) {
  table.Require("roles", "a table of common names and their roles, as in roles = { \"ana\" = \"operator\" }");
  std::map<std::string, http_api::Role> roles;
  for (const auto& [name, text] : table.TextMap("roles")) {
    if (const auto role = http_api::ParseRole(text)) {
      roles[name] = *role;
    } else {
      table.Report("roles",
                   "gives " + name + " the role \"" + text + "\"; reader, operator or admin would be right");
    }
  }
  return roles;
}

TlsSettings ReadTls(TableReader& table) {
  TlsSettings tls;
  table.Require("listen", "an address and port, as in listen = \"127.0.0.1:7443\"");
  tls.listen = table.Text("listen");
  if (table.Has("listen") && !http_api::ParseAddress(tls.listen))
    table.Report("listen", "is no address and port; \"127.0.0.1:7443\" would be right");
  tls.certificate = ReadPemPath(table, "certificate");
  tls.key = ReadPemPath(table, "key");
  tls.client_ca = ReadPemPath(table, "client_ca");
  tls.roles = ReadRoles(table);
  table.Finish();
  return tls;
}

std::string ReadAbsolutePath(TableReader& table, const char* key) {
  table.Require(key, "an absolute path");
  std::string path = table.Text(key);
  if (table.Has(key) && !IsAbsolutePath(path))
    table.Report(key, "is no absolute path; one that begins with / would be right");
  return path;
}

void ReadRestartPolicy(TableReader& table, AgentSettings& agent) {
  agent.initial_backoff =
      table.Duration("first_backoff", agent.initial_backoff, milliseconds(10), milliseconds(60000));
  agent.max_backoff =
      table.Duration("most_backoff", agent.max_backoff, milliseconds(10), milliseconds(600000));
  if (agent.max_backoff < agent.initial_backoff)
    table.Report(table.Has("most_backoff") ? "most_backoff" : "first_backoff",
                 "contradicts the other: most_backoff (" +
                     operator_config::FormatDuration(agent.max_backoff) +
                     ") must not be shorter than first_backoff (" +
                     operator_config::FormatDuration(agent.initial_backoff) + ")");
  agent.min_uptime = table.Duration("short_life", agent.min_uptime, milliseconds(100), milliseconds(3600000));
  agent.max_consecutive_crashes = static_cast<int>(table.Integer("most_deaths", 5, 1, 100));
}

AgentSettings ReadAgent(TableReader& table) {
  AgentSettings agent;
  table.Require("name", "what tools shall call this agent");
  agent.name = table.Text("name");
  CheckName(table, agent.name);
  agent.state_dir = ReadAbsolutePath(table, "state_dir");
  agent.socket = ReadAbsolutePath(table, "socket");
  if (agent.socket.size() > kMaxSocketPathLength)
    table.Report("socket", "is longer than the 107 bytes that a Unix socket's path may have");
  for (const std::int64_t uid : table.Integers("allow_uids", 0, 4294967294))
    agent.allow_uids.push_back(static_cast<uid_t>(uid));
  agent.max_connections = static_cast<std::size_t>(table.Integer("max_connections", 32, 4, 1024));
  agent.poll_interval = table.Duration("poll", agent.poll_interval, milliseconds(100), milliseconds(600000));
  agent.max_log_bytes = static_cast<std::uint64_t>(table.Integer("log_kib", 8192, 64, 4194304)) * 1024;
  ReadRestartPolicy(table, agent);
  if (const auto tls = table.Table("tls")) agent.tls = ReadTls(*tls);
  table.Finish();
  return agent;
}

std::vector<std::string> ReadCommand(TableReader& table) {
  table.Require("command", "the program and its arguments, as in command = [\"/usr/bin/badgerbridge\"]");
  std::vector<std::string> command = table.Texts("command");
  if (table.Has("command") && (command.empty() || command.front().empty()))
    table.Report("command", "names no program; [\"/usr/bin/badgerbridge\"] would be right");
  return command;
}

std::map<std::string, std::string> ReadEnvironment(TableReader& table) {
  std::map<std::string, std::string> environment = table.TextMap("environment");
  for (const auto& [name, value] : environment) {
    if (!IsEnvironmentVariable(name, value))
      table.Report("environment", "has a variable that cannot be one: " + name);
  }
  return environment;
}

std::string ReadListenAddress(TableReader& table) {
  std::string listen = table.Text("listen");
  if (table.Has("listen") && !http_api::ParseAddress(listen))
    table.Report("listen", "is no address and port; \"127.0.0.1:8080\" would be right");
  return listen;
}

/// Reads the path of the control socket from the operator file of the instance. Empty if there is none.
std::string ReadControlSocket(TableReader& table, const std::string& path, Problems& problems) {
  if (path.empty()) return "";
  const auto file = operator_config::LoadOperatorFile(path);
  problems.insert(problems.end(), file.problems.begin(), file.problems.end());
  if (file.admin_api) return file.admin_api->socket;
  table.Report("operator_file",
               "has no [control] table; the agent could neither ask nor drain this instance");
  return "";
}

std::string ReadWorkingDirectory(TableReader& table) {
  std::string path = table.Text("working_directory");
  if (!path.empty() && !IsAbsolutePath(path))
    table.Report("working_directory", "is no absolute path; one that begins with / would be right");
  return path;
}

InstanceDefinition ReadInstance(TableReader& table, Problems& problems) {
  InstanceDefinition definition;
  table.Require("name", "what the instance is called; ROUTER_NAME");
  definition.name = table.Text("name");
  CheckName(table, definition.name);
  definition.command = ReadCommand(table);
  definition.environment = ReadEnvironment(table);
  definition.listen = ReadListenAddress(table);
  table.Require("operator_file",
                "the operator's file of this instance, whose [control] table the agent needs");
  definition.operator_file = table.Text("operator_file");
  definition.control_socket = ReadControlSocket(table, definition.operator_file, problems);
  definition.working_directory = ReadWorkingDirectory(table);
  definition.labels = table.TextMap("labels");
  if (const auto limits = table.Table("limits")) {
    definition.max_descriptors = limits->Integer("descriptors", 0, 64, 1048576);
    definition.max_address_space_mb = limits->Integer("address_space_mb", 0, 16, 1048576);
    limits->Finish();
  }
  table.Finish();
  return definition;
}

/// Reports values that are used by more than one instance.
class UniqueValues {
 public:
  /// Records that instance `owner` has `value` at `key`, and reports a duplicate. Ignores empty values.
  void Add(const std::string& value, const std::string& owner, TableReader& table, const char* key) {
    if (value.empty()) return;
    const auto [known, is_new] = owners_.emplace(value, owner);
    if (!is_new) table.Report(key, "is the same as that of " + known->second + ": " + value);
  }

 private:
  std::map<std::string, std::string> owners_;  // by value
};

std::vector<InstanceDefinition> ReadInstances(TableReader& reader, Problems& problems) {
  std::vector<InstanceDefinition> instances;
  UniqueValues names;
  UniqueValues addresses;
  UniqueValues sockets;
  for (const auto& table : reader.Tables("instance")) {
    InstanceDefinition one = ReadInstance(*table, problems);
    names.Add(one.name, "another", *table, "name");
    const bool has_fixed_port = !one.listen.ends_with(":0");
    if (has_fixed_port) addresses.Add(one.listen, one.name, *table, "listen");
    sockets.Add(one.control_socket, one.name, *table, "operator_file");
    instances.push_back(std::move(one));
  }
  if (instances.size() > kMaxInstances)
    reader.Report("instance", "is there more than " + std::to_string(kMaxInstances) + " times");
  return instances;
}

}  // namespace

FleetFile ParseFleetFile(std::string_view text, const std::string& file, Problems& problems) {
  FleetFile fleet;
  const auto root = operator_config::ParseToml(text, file);
  if (!root) problems.push_back(root.error());
  if (!root) return fleet;
  TableReader reader(*root, "", file, problems);
  reader.Require("agent", "an [agent] table");
  if (const auto agent = reader.Table("agent")) fleet.agent = ReadAgent(*agent);
  fleet.instances = ReadInstances(reader, problems);
  reader.Finish();
  return fleet;
}

FleetFile LoadFleetFile(const std::string& path, Problems& problems) {
  const auto text = operator_config::ReadFile(path, kMaxFleetFileBytes);
  if (!text) problems.push_back(text.error());
  return text ? ParseFleetFile(*text, path, problems) : FleetFile{};
}

}  // namespace badgerbridge::agent
