// SPDX-License-Identifier: Apache-2.0
#include "cli/status_command.h"

#include <ostream>
#include <thread>
#include <utility>

#include "cli/json_fields.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

constexpr char kAbsent[] = "-";
constexpr char kClearScreen[] = "\x1b[H\x1b[2J";

void AppendNote(std::string& note, const std::string& text) {
  if (!note.empty()) note += "; ";
  note += text;
}

/// What an operator should know of the instance beside its state and numbers.
std::string NoteOf(const json::object& instance) {
  std::string note;
  const std::string state = StringField(instance, "state");
  const std::string step = StringField(instance, "doing");
  const std::string gave_up = StringField(instance, "gave_up");
  const std::string silent = StringField(instance, "silent");
  if (!step.empty())
    AppendNote(note, step + " for " + FormatAge(IntegerField(instance, "doing_for_ms")) + " (order " +
                         StringField(instance, "order") + ")");
  if (!gave_up.empty()) AppendNote(note, gave_up);
  if (!silent.empty() && state == "silent")
    AppendNote(note,
               "not answering for " + FormatAge(IntegerField(instance, "silent_for_ms")) + ": " + silent);
  if (state == "backoff") AppendNote(note, "it " + StringField(instance, "last_end"));
  return note;
}

std::string EndpointListAge(const json::object& list) {
  const json::value* age = list.if_contains("age_ms");
  return age && !age->is_null() ? FormatAge(IntegerField(list, "age_ms")) : kAbsent;
}

std::vector<std::string> RowOf(const SelectedInstance& instance) {
  const json::object& status = instance.status;
  const json::object& requests = ObjectField(status, "requests");
  const json::object& list = ObjectField(status, "list");
  const bool has_counters = status.contains("requests");
  const auto count = [&](const json::object& object, const char* key) {
    return has_counters ? std::to_string(IntegerField(object, key)) : kAbsent;
  };
  return {instance.name,
          StringField(status, "state"),
          status.contains("uptime_ms") ? FormatAge(IntegerField(status, "uptime_ms")) : kAbsent,
          count(requests, "taken"),
          count(requests, "served"),
          count(requests, "refused"),
          count(requests, "failed"),
          count(requests, "open"),
          count(list, "converters"),
          EndpointListAge(list),
          NoteOf(status)};
}

/// The line about an agent below the table.
std::string SummaryOf(const AgentStatus& agent, bool with_name) {
  std::string text = with_name ? agent.target.name + ": " : std::string();
  text += "generation " + std::to_string(agent.generation) + ", " +
          std::to_string(ArrayField(agent.status, "open_orders").size()) + " orders open";
  const std::string disk = StringField(agent.status, "disk");
  if (disk != "ok") text += "; DISK: " + disk;
  return text + "\n";
}

std::string StatusText(const AgentSession& session, const FleetStatus& fleet) {
  InstanceTable rows(session, {"INSTANCE", "STATE", "UP", "TAKEN", "SERVED", "REFUSED", "FAILED", "OPEN",
                               "CONVERTERS", "LIST AGE", "NOTE"});
  for (const SelectedInstance& instance : fleet.instances) rows.Add(instance.agent, RowOf(instance));
  std::string text = rows.table().ToStringUnlessEmpty();
  for (const AgentStatus& agent : fleet.agents) {
    if (!agent.status.empty()) text += SummaryOf(agent, session.has_several_agents());
  }
  return text;
}

json::object StatusJson(const FleetStatus& fleet) {
  json::object agents;
  for (const AgentStatus& agent : fleet.agents) {
    json::object status = agent.status;
    if (status.empty()) {
      status["error"] = "out of reach";
    } else {
      json::array instances;
      for (const SelectedInstance& instance : fleet.instances) {
        if (instance.agent == agent.target.name) instances.push_back(instance.status);
      }
      status["instances"] = std::move(instances);
    }
    agents[agent.target.name] = std::move(status);
  }
  return {{"agents", std::move(agents)}};
}

void WriteNames(AgentSession& session, const FleetStatus& fleet) {
  for (const SelectedInstance& instance : fleet.instances)
    session.out() << (session.has_several_agents() ? instance.agent + "/" : "") << instance.name << '\n';
}

}  // namespace

ExitCode ShowStatus(AgentSession& session, const Selection& selection) {
  const FleetStatus fleet = ReadFleetStatus(session, selection);
  if (session.output().json) {
    session.out() << json::serialize(StatusJson(fleet)) << '\n';
  } else if (session.output().names_only) {
    WriteNames(session, fleet);
  } else {
    session.out() << StatusText(session, fleet);
  }
  return fleet.code;
}

ExitCode WatchStatus(AgentSession& session, const Selection& selection, std::chrono::milliseconds interval,
                     int times) {
  ExitCode code = ExitCode::kSuccess;
  for (int i = 0; times == 0 || i < times; ++i) {
    if (i > 0) std::this_thread::sleep_for(interval);
    const FleetStatus fleet = ReadFleetStatus(session, selection);
    code = fleet.code;
    session.out() << (session.output().show_progress ? kClearScreen : "") << StatusText(session, fleet)
                  << std::flush;
    if (!session.out()) break;
  }
  return code;
}

}  // namespace badgerbridge::cli
