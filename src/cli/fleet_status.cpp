// SPDX-License-Identifier: Apache-2.0
#include "cli/fleet_status.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cli/json_fields.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

bool Contains(const std::vector<std::string>& list, const std::string& text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

std::vector<AgentTarget> AgentsOf(const AgentSession& session, const Selection& selection) {
  std::vector<AgentTarget> agents;
  for (const AgentTarget& agent : session.agents()) {
    if (selection.agents.empty() || Contains(selection.agents, agent.name)) agents.push_back(agent);
  }
  return agents;
}

ExitCode ReportUnknownAgents(AgentSession& session, const Selection& selection) {
  ExitCode code = ExitCode::kSuccess;
  for (const std::string& name : selection.agents) {
    const bool is_known = std::any_of(session.agents().begin(), session.agents().end(),
                                      [&](const AgentTarget& agent) { return agent.name == name; });
    if (!is_known) code = session.Report(UnknownAgent{name});
  }
  return code;
}

std::vector<http_api::Reply> AskForStatus(AgentSession& session, const std::vector<AgentTarget>& agents) {
  std::vector<AgentCall> calls;
  for (const AgentTarget& agent : agents)
    calls.push_back({agent.target, "GET", "/v1/status", "", session.TimeoutOr(kDefaultCallTimeout)});
  return session.CallAll(std::move(calls));
}

/// `label` is "key=value".
bool HasLabel(const json::object& instance, const std::string& label) {
  const std::size_t equals = label.find('=');
  if (equals == std::string::npos) return false;
  const std::string key = label.substr(0, equals);
  const json::object& labels = ObjectField(instance, "labels");
  return labels.contains(key) && StringField(labels, key) == label.substr(equals + 1);
}

/// Whether the instance has the state and the labels that are asked for.
bool HasStateAndLabels(const Selection& selection, const json::object& instance) {
  if (!selection.states.empty() && !Contains(selection.states, StringField(instance, "state"))) return false;
  return std::all_of(selection.labels.begin(), selection.labels.end(),
                     [&](const std::string& label) { return HasLabel(instance, label); });
}

/// Picks the instances of one agent after the other.
class InstanceSelector {
 public:
  explicit InstanceSelector(const Selection& selection) : selection_(selection) {}

  void Select(const AgentStatus& agent, std::vector<SelectedInstance>& selected) {
    for (const json::value& item : ArrayField(agent.status, "instances")) {
      if (!item.is_object()) continue;
      const json::object& instance = item.get_object();
      const std::string name = StringField(instance, "name");
      if (IsNamed(agent.target.name, name) && HasStateAndLabels(selection_, instance))
        selected.push_back({agent.target.name, name, instance});
    }
  }

  /// Whether an instance of this name, as the selection writes it, was met.
  bool HasMet(const std::string& wanted) const { return met_.count(wanted) > 0; }

 private:
  bool IsNamed(const std::string& agent, const std::string& name) {
    bool is_named = selection_.names.empty();
    for (const std::string& wanted : selection_.names) {
      if (wanted != name && wanted != agent + "/" + name) continue;
      met_.insert(wanted);
      is_named = true;
    }
    return is_named;
  }

  const Selection& selection_;
  std::set<std::string> met_;  // of the names in the selection
};

}  // namespace

FleetStatus ReadFleetStatus(AgentSession& session, const Selection& selection) {
  FleetStatus fleet;
  fleet.code = ReportUnknownAgents(session, selection);
  const std::vector<AgentTarget> agents = AgentsOf(session, selection);
  const std::vector<http_api::Reply> replies = AskForStatus(session, agents);
  InstanceSelector selector(selection);
  for (std::size_t i = 0; i < agents.size(); ++i) {
    AgentStatus agent;
    agent.target = agents[i];
    if (const json::object* body = BodyOf(replies[i])) {
      agent.status = *body;
      agent.generation = static_cast<std::uint64_t>(IntegerField(agent.status, "generation"));
      selector.Select(agent, fleet.instances);
    } else {
      fleet.code = Worst(fleet.code, session.ReportFailedReply(agents[i].name, replies[i]));
    }
    fleet.agents.push_back(std::move(agent));
  }
  for (const std::string& wanted : selection.names) {
    // An agent that did not answer may have it.
    if (selector.HasMet(wanted) || fleet.code == ExitCode::kUnreachable) continue;
    fleet.code = Worst(fleet.code, session.Report(UnknownInstance{wanted}));
  }
  return fleet;
}

}  // namespace badgerbridge::cli
