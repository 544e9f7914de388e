// SPDX-License-Identifier: Apache-2.0
#include "agent/fleet_file.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "http_api/address.h"
#include "operator_config/operator_file.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;
using operator_config::Problems;
using operator_config::TableReader;
using std::chrono::milliseconds;

constexpr std::size_t kMostInstances = 256;
constexpr std::size_t kMostSocketPath = 107;

bool GoodName(const std::string& name) {
  return !name.empty() && name.size() <= 64 &&
         std::all_of(name.begin(), name.end(),
                     [](char c) {
                       return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                              c == '-' || c == '_' || c == '.';
                     }) &&
         name.front() != '.' && name.front() != '-';
}

void CheckName(TableReader& table, const std::string& name) {
  if (table.Has("name") && !GoodName(name))
    table.Report("name", "is not 1 to 64 letters, digits, '-', '_' or '.', the first a letter or digit");
}

TlsSettings ReadTls(TableReader& table) {
  TlsSettings tls;
  table.Require("listen", "an address and port, as in listen = \"127.0.0.1:7443\"");
  tls.listen = table.Text("listen");
  if (table.Has("listen") && !http_api::ParseAddress(tls.listen))
    table.Report("listen", "is no address and port; \"127.0.0.1:7443\" would be right");
  for (auto [key, field] : {std::pair("certificate", &tls.certificate), std::pair("key", &tls.key),
                            std::pair("client_ca", &tls.client_ca)}) {
    table.Require(key, "the path of a PEM file");
    *field = table.Text(key);
  }
  table.Require("roles", "a table of common names and their roles, as in roles = { \"ana\" = \"operator\" }");
  for (const auto& [name, text] : table.TextMap("roles")) {
    const auto role = http_api::ParseRole(text);
    if (role) {
      tls.roles[name] = *role;
    } else {
      table.Report("roles",
                   "gives " + name + " the role \"" + text + "\"; reader, operator or admin would be right");
    }
  }
  table.Finish();
  return tls;
}

AgentSettings ReadAgent(TableReader& table) {
  AgentSettings agent;
  table.Require("name", "what tools shall call this agent");
  agent.name = table.Text("name");
  CheckName(table, agent.name);
  for (auto [key, field] : {std::pair("state_dir", &agent.state_dir), std::pair("socket", &agent.socket)}) {
    table.Require(key, "an absolute path");
    *field = table.Text(key);
    if (table.Has(key) && (field->empty() || field->front() != '/'))
      table.Report(key, "is no absolute path; one that begins with / would be right");
  }
  if (agent.socket.size() > kMostSocketPath)
    table.Report("socket", "is longer than the 107 bytes that a Unix socket's path may have");
  for (const std::int64_t uid : table.Wholes("allow_uids", 0, 4294967294))
    agent.allow_uids.push_back(static_cast<uid_t>(uid));
  agent.max_connections = static_cast<std::size_t>(table.Whole("max_connections", 32, 4, 1024));
  agent.poll = table.Duration("poll", agent.poll, milliseconds(100), milliseconds(600000));
  agent.log_bytes = static_cast<std::uint64_t>(table.Whole("log_kib", 8192, 64, 4194304)) * 1024;
  agent.first_backoff =
      table.Duration("first_backoff", agent.first_backoff, milliseconds(10), milliseconds(60000));
  agent.most_backoff =
      table.Duration("most_backoff", agent.most_backoff, milliseconds(10), milliseconds(600000));
  if (agent.most_backoff < agent.first_backoff)
    table.Report(table.Has("most_backoff") ? "most_backoff" : "first_backoff",
                 "contradicts the other: most_backoff (" +
                     operator_config::FormatDuration(agent.most_backoff) +
                     ") must not be shorter than first_backoff (" +
                     operator_config::FormatDuration(agent.first_backoff) + ")");
  agent.short_life = table.Duration("short_life", agent.short_life, milliseconds(100), milliseconds(3600000));
  agent.most_deaths = static_cast<int>(table.Whole("most_deaths", 5, 1, 100));
  if (const auto tls = table.Table("tls")) agent.tls = ReadTls(*tls);
  table.Finish();
  return agent;
}

Definition ReadInstance(TableReader& table, Problems& problems) {
  Definition one;
  table.Require("name", "what the instance is called; ROUTER_NAME");
  one.name = table.Text("name");
  CheckName(table, one.name);
  table.Require("command", "the program and its arguments, as in command = [\"/usr/bin/badgerbridge\"]");
  one.command = table.Texts("command");
  if (table.Has("command") && (one.command.empty() || one.command.front().empty()))
    table.Report("command", "names no program; [\"/usr/bin/badgerbridge\"] would be right");
  one.environment = table.TextMap("environment");
  for (const auto& [key, value] : one.environment) {
    if (key.empty() || key.find('=') != std::string::npos || key.find('\0') != std::string::npos ||
        value.find('\0') != std::string::npos)
      table.Report("environment", "has a variable that cannot be one: " + key);
  }
  one.listen = table.Text("listen");
  if (table.Has("listen") && !http_api::ParseAddress(one.listen))
    table.Report("listen", "is no address and port; \"127.0.0.1:8080\" would be right");
  table.Require("operator_file",
                "the operator's file of this instance, whose [control] table the agent needs");
  one.operator_file = table.Text("operator_file");
  if (!one.operator_file.empty()) {
    const auto file = operator_config::Load(one.operator_file, problems);
    if (file.control) {
      one.control_socket = file.control->socket;
    } else {
      table.Report("operator_file",
                   "has no [control] table; the agent could neither ask nor drain this instance");
    }
  }
  one.working_directory = table.Text("working_directory");
  if (!one.working_directory.empty() && one.working_directory.front() != '/')
    table.Report("working_directory", "is no absolute path; one that begins with / would be right");
  one.labels = table.TextMap("labels");
  if (const auto limits = table.Table("limits")) {
    one.descriptors = limits->Whole("descriptors", 0, 64, 1048576);
    one.address_space_mb = limits->Whole("address_space_mb", 0, 16, 1048576);
    limits->Finish();
  }
  table.Finish();
  return one;
}

json::object ToObject(const std::map<std::string, std::string>& texts) {
  json::object object;
  for (const auto& [key, value] : texts) object[key] = value;
  return object;
}

std::map<std::string, std::string> ToMap(const json::value& value) {
  std::map<std::string, std::string> texts;
  for (const auto& [key, text] : value.as_object()) texts[std::string(key)] = std::string(text.as_string());
  return texts;
}

}  // namespace

FleetFile ParseFleet(std::string_view text, const std::string& file, Problems& problems) {
  FleetFile fleet;
  const auto root = operator_config::ParseToml(text, file, problems);
  if (!root) return fleet;
  TableReader reader(*root, "", file, problems);
  reader.Require("agent", "an [agent] table");
  if (const auto agent = reader.Table("agent")) fleet.agent = ReadAgent(*agent);
  std::map<std::string, std::string> names, addresses, sockets;
  const auto once = [](std::map<std::string, std::string>& seen, const std::string& value,
                       const std::string& name, TableReader& table, const char* key) {
    if (value.empty()) return;
    const auto [at, fresh] = seen.emplace(value, name);
    if (!fresh) table.Report(key, "is the same as that of " + at->second + ": " + value);
  };
  for (const auto& table : reader.Tables("instance")) {
    Definition one = ReadInstance(*table, problems);
    once(names, one.name, "another", *table, "name");
    if (!one.listen.ends_with(":0")) once(addresses, one.listen, one.name, *table, "listen");
    once(sockets, one.control_socket, one.name, *table, "operator_file");
    fleet.instances.push_back(std::move(one));
  }
  if (fleet.instances.size() > kMostInstances)
    reader.Report("instance", "is there more than " + std::to_string(kMostInstances) + " times");
  reader.Finish();
  return fleet;
}

FleetFile LoadFleet(const std::string& path, Problems& problems) {
  const auto text = operator_config::ReadFile(path, kMostFleetBytes, problems);
  return text ? ParseFleet(*text, path, problems) : FleetFile{};
}

std::string ToText(const Definition& one) {
  json::array command;
  for (const std::string& word : one.command) command.emplace_back(word);
  return json::serialize(json::object{{"name", one.name},
                                      {"command", std::move(command)},
                                      {"environment", ToObject(one.environment)},
                                      {"listen", one.listen},
                                      {"operator_file", one.operator_file},
                                      {"control_socket", one.control_socket},
                                      {"working_directory", one.working_directory},
                                      {"labels", ToObject(one.labels)},
                                      {"descriptors", one.descriptors},
                                      {"address_space_mb", one.address_space_mb}});
}

Definition DefinitionOf(std::string_view text) {
  const json::value value = json::parse(json::string_view(text.data(), text.size()));
  const json::object& object = value.as_object();
  const auto field = [&](const char* key) { return std::string(object.at(key).as_string()); };
  Definition one;
  one.name = field("name");
  for (const json::value& word : object.at("command").as_array())
    one.command.push_back(std::string(word.as_string()));
  if (one.command.empty()) throw std::runtime_error("a definition without a command");
  one.environment = ToMap(object.at("environment"));
  one.listen = field("listen");
  one.operator_file = field("operator_file");
  one.control_socket = field("control_socket");
  one.working_directory = field("working_directory");
  one.labels = ToMap(object.at("labels"));
  one.descriptors = object.at("descriptors").to_number<std::int64_t>();
  one.address_space_mb = object.at("address_space_mb").to_number<std::int64_t>();
  return one;
}

std::vector<Change> Diff(const std::map<std::string, std::string>& from,
                         const std::map<std::string, std::string>& to) {
  std::vector<Change> changes;
  for (const auto& [name, text] : to) {
    const auto before = from.find(name);
    if (before == from.end()) {
      changes.push_back({name, Change::Kind::kAdd, "new"});
    } else if (before->second != text) {
      std::string what;
      const json::value a = json::parse(before->second), b = json::parse(text);
      for (const auto& [key, value] : b.as_object()) {
        const json::value* old = a.as_object().if_contains(key);
        if (old && *old == value) continue;
        what += (what.empty() ? "" : "; ") + std::string(key) + ": " +
                (old ? json::serialize(*old) : "nothing") + " -> " + json::serialize(value);
      }
      changes.push_back({name, Change::Kind::kChange, what});
    }
  }
  for (const auto& [name, text] : from) {
    if (!to.count(name)) changes.push_back({name, Change::Kind::kRemove, "no longer in the file"});
  }
  return changes;
}

}  // namespace badgerbridge::agent
