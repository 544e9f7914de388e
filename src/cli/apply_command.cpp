// SPDX-License-Identifier: Apache-2.0
#include "cli/apply_command.h"

#include <algorithm>
#include <ostream>
#include <utility>

#include "agent/fleet_file.h"
#include "cli/json_fields.h"
#include "cli/order_report.h"
#include "cli/order_submission.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;
using operator_config::Problems;

/// A fleet file, and the agent that it is for.
struct FleetText {
  std::string text;
  AgentTarget agent;
};

/// The agent of this name, or the one that --socket names; null: neither.
const AgentTarget* FindAgent(const std::vector<AgentTarget>& agents, const std::string& name) {
  const auto found = std::find_if(agents.begin(), agents.end(),
                                  [&](const AgentTarget& agent) { return agent.name == name; });
  if (found != agents.end()) return &*found;
  const bool is_only_socket = agents.size() == 1 && agents.front().name.empty();
  return is_only_socket ? &agents.front() : nullptr;
}

/// The name in the [agent] table of a fleet file; empty if it has none.
FileResult<std::string> ReadAgentName(const std::string& fleet_text, const std::string& path) {
  const auto root = operator_config::ParseToml(fleet_text, path);
  if (!root) return Problems{root.error()};
  return (*root)["agent"]["name"].value_or(std::string());
}

FileResult<FleetText> ReadFleet(const std::string& path, const std::vector<AgentTarget>& agents) {
  const auto text = operator_config::ReadFile(path, agent::kMaxFleetFileBytes);
  if (!text) return Problems{text.error()};
  const FileResult<std::string> name = ReadAgentName(*text, path);
  if (!name) return name.error();
  const AgentTarget* agent = FindAgent(agents, *name);
  if (!agent)
    return Problems{{path, 0, 0, "is for agent \"" + *name + "\", which the context does not name"}};
  return FleetText{*text, *agent};
}

void WriteChanges(AgentSession& session, const json::object& diff) {
  const json::array& changes = ArrayField(diff, "changes");
  Table table({"INSTANCE", "CHANGE", "WHAT"}, session.output().color);
  for (const json::value& item : changes) {
    if (!item.is_object()) continue;
    const json::object& change = item.get_object();
    table.Add({StringField(change, "instance"), StringField(change, "kind"), StringField(change, "text")});
  }
  session.out() << (changes.empty() ? "nothing to change\n" : table.ToString());
}

}  // namespace

Result<ExitCode> DiffFleetFile(AgentSession& session, const std::string& path) {
  const FileResult<FleetText> fleet = ReadFleet(path, session.agents());
  if (!fleet) return InvalidFile{fleet.error()};
  const json::object request{{"fleet", fleet->text}, {"file", path}};
  const http_api::Reply reply = session.Post(fleet->agent, "/v1/diff", json::serialize(request));
  const json::object* diff = BodyOf(reply);
  if (!diff) return session.ReportFailedReply(fleet->agent.name, reply);
  if (session.output().json) {
    session.out() << json::serialize(reply.body) << '\n';
  } else {
    WriteChanges(session, *diff);
  }
  return ExitCode::kSuccess;
}

Result<ExitCode> ApplyFleetFile(AgentSession& session, const std::string& path, const OrderOptions& options) {
  const FileResult<FleetText> fleet = ReadFleet(path, session.agents());
  if (!fleet) return InvalidFile{fleet.error()};
  SubmittedOrder order;
  order.agent = fleet->agent;
  order.id = OrderIdOf(options);
  order.request = {{"id", order.id},
                   {"fleet", fleet->text},
                   {"file", path},
                   {"against", options.against},
                   {"at_most", options.at_most}};
  OrderSubmission submission(session, options, "/v1/apply", {std::move(order)});
  return ReportOrders(session, options, submission.Run());
}

}  // namespace badgerbridge::cli
