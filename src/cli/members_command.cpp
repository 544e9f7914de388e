// SPDX-License-Identifier: Apache-2.0
#include "cli/members_command.h"

#include <ostream>
#include <utility>

#include "cli/json_fields.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

/// "etcd (authority, current, revision 12), discovery (stale, revision 3); etcd is watching"
std::string SourcesText(const json::object& members) {
  std::string text;
  for (const json::value& item : ArrayField(members, "sources")) {
    if (!item.is_object()) continue;
    const json::object& source = item.get_object();
    if (!text.empty()) text += ", ";
    text += StringField(source, "name") + " (" + (BoolField(source, "authority") ? "authority, " : "") +
            StringField(source, "freshness") + ", revision " +
            std::to_string(IntegerField(source, "revision")) + ")";
  }
  const json::object& etcd = ObjectField(members, "etcd");
  const std::string state = StringField(etcd, "state");
  const std::string last_error = StringField(etcd, "last_trouble");
  text += "; etcd is " + state;
  if (state != "watching" && !last_error.empty()) text += ": " + last_error;
  return text;
}

/// A line for each report and each key of a source that the proxy did not accept.
std::string RejectedText(const std::string& instance, const json::object& members) {
  std::string text;
  for (const json::value& item : ArrayField(members, "sources")) {
    if (!item.is_object()) continue;
    const json::object& source = item.get_object();
    const std::string prefix = instance + ": " + StringField(source, "name") + ": ";
    const std::string rejected = StringField(source, "refused");
    if (!rejected.empty()) text += prefix + rejected + "\n";
    for (const auto& [key, reason] : ObjectField(source, "problems"))
      text += prefix + std::string(key) + ": " + StringOf(reason) + "; the last good entry stays\n";
  }
  return text;
}

/// The lines about an instance below the table.
std::string NotesOf(const std::string& instance, const json::object& members) {
  std::string text = instance + ": " + SourcesText(members) + "\n";
  const std::int64_t held_count = IntegerField(members, "held");
  if (held_count > 0)
    text += instance + ": " + std::to_string(held_count) +
            " converters left at once and are HELD; if they have really left: badgerbridge-ctl members "
            "release " +
            instance + "\n";
  return text + RejectedText(instance, members);
}

void AddRows(Table& table, const std::string& instance, const json::object& members) {
  for (const json::value& item : ArrayField(members, "members")) {
    if (!item.is_object()) continue;
    const json::object& member = item.get_object();
    table.Add({instance, StringField(member, "name"),
               StringField(member, "state") + (BoolField(member, "held") ? " HELD" : ""),
               StringField(member, "why"), std::to_string(IntegerField(member, "revision")),
               FormatAge(IntegerField(member, "age_ms")), StringField(member, "address"),
               StringField(member, "service")});
  }
}

ExitCode ReportMissingMembers(AgentSession& session, const std::string& instance,
                              const http_api::Reply& reply) {
  const ExitCode code = reply.status == 0 ? ExitCode::kUnreachable : ExitCode::kPartialFailure;
  return session.Report(RequestFailed{instance, reply.ErrorMessage(), code});
}

ExitCode CodeOfFailedRelease(const http_api::Reply& reply) {
  constexpr unsigned kForbidden = 403;
  if (reply.status == 0) return ExitCode::kUnreachable;
  return reply.status == kForbidden ? ExitCode::kNotAllowed : ExitCode::kPartialFailure;
}

}  // namespace

ExitCode ShowMembers(AgentSession& session, const Selection& selection) {
  const FleetStatus fleet = ReadFleetStatus(session, selection);
  ExitCode code = fleet.code;
  json::array all;
  Table table({"INSTANCE", "CONVERTER", "STATE", "WHY", "REVISION", "SINCE", "ADDRESS", "SERVICE"},
              session.output().color);
  std::string notes;
  for (const SelectedInstance& selected : fleet.instances) {
    const std::string instance =
        session.has_several_agents() ? selected.agent + "/" + selected.name : selected.name;
    const http_api::Reply reply =
        session.Get(session.FindAgent(selected.agent), "/v1/instances/" + selected.name + "/members");
    const json::object* members = BodyOf(reply);
    if (!members) {
      code = Worst(code, ReportMissingMembers(session, instance, reply));
      continue;
    }
    json::object entry = *members;
    entry["instance"] = instance;
    all.push_back(std::move(entry));
    AddRows(table, instance, *members);
    notes += NotesOf(instance, *members);
  }
  WriteJsonOrTable(session.out(), session.output().json, all, table);
  if (!session.output().json) session.out() << notes;
  return code;
}

Result<ExitCode> ReleaseMembers(AgentSession& session, const Selection& selection) {
  if (selection.empty()) return MissingSelection{};
  const FleetStatus fleet = ReadFleetStatus(session, selection);
  if (fleet.code == ExitCode::kUsage) return fleet.code;
  ExitCode code = fleet.code;
  json::array all;
  Table table({"INSTANCE", "ASKED", "RESULT", "WHAT HAPPENED"}, session.output().color);
  for (const SelectedInstance& selected : fleet.instances) {
    const http_api::Reply reply = session.Post(session.FindAgent(selected.agent),
                                               "/v1/instances/" + selected.name + "/members/release", "{}");
    const json::object* released = BodyOf(reply);
    const std::string result = released ? "done" : "failed";
    const std::string text = released
                                 ? std::to_string(IntegerField(*released, "released")) + " converters let go"
                                 : reply.ErrorMessage();
    table.Add({selected.name, "release", result, text});
    all.push_back(json::object{{"instance", selected.name}, {"result", result}, {"text", text}});
    if (!released) code = Worst(code, CodeOfFailedRelease(reply));
  }
  WriteJsonOrTable(session.out(), session.output().json, all, table);
  return code;
}

}  // namespace badgerbridge::cli
