// SPDX-License-Identifier: Apache-2.0
#include "cli/instance_command.h"

#include <cstdio>
#include <ostream>
#include <utility>

#include "cli/json_fields.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

constexpr char kAbsent[] = "-";

/// A number as short as possible; "-" where there is none.
std::string NumberText(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  if (!value || !value->is_number()) return kAbsent;
  char text[32];
  std::snprintf(text, sizeof text, "%.10g", value->to_number<double>());
  return text;
}

std::string SlowStartBudget(const json::object& backend) {
  if (!backend.contains("cold_budget")) return kAbsent;
  const json::object& budget = ObjectField(backend, "cold_budget");
  return std::to_string(IntegerField(budget, "sent_ms")) + " of " +
         std::to_string(IntegerField(budget, "work_ms")) + " ms";
}

std::string EjectionTime(const json::object& backend) {
  return backend.contains("ejected_for_ms") ? FormatAge(IntegerField(backend, "ejected_for_ms")) : kAbsent;
}

Table RequestClassTable(const json::object& instance, bool color) {
  Table table({"CLASS", "TAKEN", "SERVED", "REFUSED", "FAILED", "OPEN"}, color);
  for (const auto& [name, counts] : ObjectField(ObjectField(instance, "status"), "classes")) {
    if (!counts.is_object()) continue;
    std::vector<std::string> row{std::string(name)};
    for (const char* key : {"taken", "served", "refused", "failed", "open"})
      row.push_back(std::to_string(IntegerField(counts.get_object(), key)));
    table.Add(std::move(row));
  }
  return table;
}

Table BackendTable(const json::object& instance, bool color) {
  Table table({"CONVERTER", "ZONE", "STATUS", "HEALTH", "EJECTED FOR", "IN FLIGHT", "SLOWNESS", "WARM",
               "COLD BUDGET"},
              color);
  for (const json::value& item : ArrayField(instance, "converters")) {
    if (!item.is_object()) continue;
    const json::object& backend = item.get_object();
    table.Add({StringField(backend, "name"), StringField(backend, "zone"), StringField(backend, "status"),
               StringField(backend, "health"), EjectionTime(backend), NumberText(backend, "in_flight"),
               NumberText(backend, "slowness"), NumberText(backend, "warm_share"), SlowStartBudget(backend)});
  }
  return table;
}

void PrintInstance(AgentSession& session, const SelectedInstance& selected, const json::object& instance) {
  std::ostream& out = session.out();
  out << selected.agent << "/" << selected.name << "  " << StringField(instance, "state") << ", pid "
      << IntegerField(instance, "pid") << ", wanted " << StringField(instance, "wanted") << ", generation "
      << IntegerField(instance, "generation") << '\n';
  for (const char* key : {"listen", "doing", "silent", "gave_up", "last_end"}) {
    const std::string text = StringField(instance, key);
    if (!text.empty()) out << "  " << key << ": " << text << '\n';
  }
  const bool color = session.output().color;
  out << RequestClassTable(instance, color).ToStringUnlessEmpty()
      << BackendTable(instance, color).ToStringUnlessEmpty();
  const std::string error = StringField(instance, "converters_error");
  if (!error.empty()) out << "  converters: " << error << '\n';
}

void PrintLogLines(AgentSession& session, const std::string& prefix, const json::object& log) {
  for (const json::value& line : ArrayField(log, "lines")) session.out() << prefix << StringOf(line) << '\n';
}

}  // namespace

ExitCode ShowInstances(AgentSession& session, const Selection& selection) {
  const FleetStatus fleet = ReadFleetStatus(session, selection);
  ExitCode code = fleet.code;
  json::array all;
  for (const SelectedInstance& selected : fleet.instances) {
    const http_api::Reply reply =
        session.Get(session.FindAgent(selected.agent), "/v1/instances/" + selected.name);
    const json::object* instance = BodyOf(reply);
    if (!instance) {
      code = Worst(code, session.ReportFailedReply(selected.agent, reply));
    } else if (session.output().json) {
      all.push_back(*instance);
    } else {
      PrintInstance(session, selected, *instance);
    }
  }
  if (session.output().json) session.out() << json::serialize(all) << '\n';
  return code;
}

Result<ExitCode> ShowLogs(AgentSession& session, const Selection& selection, int line_count) {
  if (selection.empty()) return MissingSelection{};
  const FleetStatus fleet = ReadFleetStatus(session, selection);
  const bool names_instances = fleet.instances.size() > 1;
  ExitCode code = fleet.code;
  json::array all;
  for (const SelectedInstance& selected : fleet.instances) {
    const http_api::Reply reply =
        session.Get(session.FindAgent(selected.agent),
                    "/v1/logs/" + selected.name + "?lines=" + std::to_string(line_count));
    const json::object* log = BodyOf(reply);
    if (!log) {
      code = Worst(code, session.ReportFailedReply(selected.agent, reply));
    } else if (session.output().json) {
      all.push_back(*log);
    } else {
      PrintLogLines(session, names_instances ? selected.name + ": " : "", *log);
    }
  }
  if (session.output().json) session.out() << json::serialize(all) << '\n';
  return code;
}

}  // namespace badgerbridge::cli
