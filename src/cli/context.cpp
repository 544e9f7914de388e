// SPDX-License-Identifier: Apache-2.0
#include "cli/context.h"

#include <set>

#include "http_api/address.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::cli {
namespace {

using operator_config::TableReader;

AgentTarget ReadAgent(TableReader& table) {
  AgentTarget agent;
  table.Require("name", "the agent's name, as in its fleet file");
  agent.name = table.Text("name");
  agent.target.unix_path = table.Text("socket");
  const std::string address = table.Text("address");
  if (table.Has("socket") == table.Has("address"))
    table.Report("socket", "and address: give one of them, the path of a Unix socket or an address and port");
  if (table.Has("socket") && (agent.target.unix_path.empty() || agent.target.unix_path.front() != '/'))
    table.Report("socket", "is no absolute path; one that begins with / would be right");
  const auto endpoint = http_api::ParseAddress(address);
  if (endpoint) agent.target.address = *endpoint;
  if (table.Has("address") && (!endpoint || endpoint->port() == 0))
    table.Report("address", "is no address and port; \"127.0.0.1:7443\" would be right");
  agent.target.server_name = table.Text("server_name");
  for (auto [key, field] :
       {std::pair("certificate", &agent.target.files.certificate), std::pair("key", &agent.target.files.key),
        std::pair("authority", &agent.target.files.authority)}) {
    if (table.Has("address")) table.Require(key, "the path of a PEM file");
    *field = table.Text(key);
  }
  table.Finish();
  return agent;
}

}  // namespace

std::vector<AgentTarget> ParseContext(std::string_view text, const std::string& file,
                                      operator_config::Problems& problems) {
  std::vector<AgentTarget> agents;
  const auto root = operator_config::ParseToml(text, file);
  if (!root) problems.push_back(root.error());
  if (!root) return agents;
  TableReader reader(*root, "", file, problems);
  reader.Require("agent", "at least one [[agent]] table");
  std::set<std::string> names;
  for (const auto& table : reader.Tables("agent")) {
    agents.push_back(ReadAgent(*table));
    if (!names.insert(agents.back().name).second)
      table->Report("name", "is there twice: " + agents.back().name);
  }
  reader.Finish();
  return agents;
}

std::vector<AgentTarget> LoadContext(const std::string& path, operator_config::Problems& problems) {
  const auto text = operator_config::ReadFile(path, 1 << 20);
  if (!text) problems.push_back(text.error());
  return text ? ParseContext(*text, path, problems) : std::vector<AgentTarget>{};
}

std::string AgentNameIn(const std::string& fleet_text, const std::string& file,
                        operator_config::Problems& problems) {
  const auto root = operator_config::ParseToml(fleet_text, file);
  if (!root) problems.push_back(root.error());
  if (!root) return "";
  return (*root)["agent"]["name"].value_or(std::string());
}

}  // namespace badgerbridge::cli
