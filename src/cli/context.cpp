// SPDX-License-Identifier: Apache-2.0
#include "cli/context.h"

#include <set>

#include "http_api/address.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::cli {
namespace {

using operator_config::TableReader;

constexpr std::size_t kMaxContextFileBytes = 1 << 20;

void ReadAddress(TableReader& table, http_api::Target& target) {
  target.unix_path = table.Text("socket");
  const std::string address = table.Text("address");
  if (table.Has("socket") == table.Has("address"))
    table.Report("socket", "and address: give one of them, the path of a Unix socket or an address and port");
  if (table.Has("socket") && (target.unix_path.empty() || target.unix_path.front() != '/'))
    table.Report("socket", "is no absolute path; one that begins with / would be right");
  const auto endpoint = http_api::ParseAddress(address);
  if (endpoint) target.address = *endpoint;
  if (table.Has("address") && (!endpoint || endpoint->port() == 0))
    table.Report("address", "is no address and port; \"127.0.0.1:7443\" would be right");
}

std::string ReadTlsFile(TableReader& table, std::string_view key) {
  if (table.Has("address")) table.Require(key, "the path of a PEM file");
  return table.Text(key);
}

AgentTarget ReadAgent(TableReader& table) {
  AgentTarget agent;
  table.Require("name", "the agent's name, as in its fleet file");
  agent.name = table.Text("name");
  ReadAddress(table, agent.target);
  agent.target.server_name = table.Text("server_name");
  agent.target.files.certificate = ReadTlsFile(table, "certificate");
  agent.target.files.key = ReadTlsFile(table, "key");
  agent.target.files.authority = ReadTlsFile(table, "authority");
  table.Finish();
  return agent;
}

}  // namespace

FileResult<std::vector<AgentTarget>> ParseContext(std::string_view text, const std::string& file) {
  const auto root = operator_config::ParseToml(text, file);
  if (!root) return operator_config::Problems{root.error()};
  operator_config::Problems problems;
  std::vector<AgentTarget> agents;
  TableReader reader(*root, "", file, problems);
  reader.Require("agent", "at least one [[agent]] table");
  std::set<std::string> names;
  for (const auto& table : reader.Tables("agent")) {
    agents.push_back(ReadAgent(*table));
    if (!names.insert(agents.back().name).second)
      table->Report("name", "is there twice: " + agents.back().name);
  }
  reader.Finish();
  if (!problems.empty()) return problems;
  return agents;
}

FileResult<std::vector<AgentTarget>> LoadContext(const std::string& path) {
  const auto text = operator_config::ReadFile(path, kMaxContextFileBytes);
  if (!text) return operator_config::Problems{text.error()};
  return ParseContext(*text, path);
}

}  // namespace badgerbridge::cli
