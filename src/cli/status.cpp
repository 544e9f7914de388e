// SPDX-License-Identifier: Apache-2.0
//
// What instances do: status, watch, get.
#include <cstdio>
#include <ostream>
#include <thread>

#include "cli/commands.h"
#include "cli/fields.h"
#include "cli/render.h"

namespace badgerbridge::cli {

namespace json = boost::json;
using std::chrono::milliseconds;

std::string Commands::TableOf(const View& view) const {
  const bool several = settings_.agents.size() > 1;
  std::vector<std::string> header{"INSTANCE", "STATE", "UP",         "TAKEN",    "SERVED", "REFUSED",
                                  "FAILED",   "OPEN",  "CONVERTERS", "LIST AGE", "NOTE"};
  if (several) header.insert(header.begin(), "AGENT");
  Table table(header, settings_.color);
  for (const View::Line& line : view.lines) {
    const json::object& one = line.instance;
    const json::object& requests = Object(one, "requests");
    const json::object& list = Object(one, "list");
    const bool seen = one.contains("requests");
    const auto count = [&](const char* key) { return seen ? std::to_string(Whole(requests, key)) : "-"; };
    std::string note;
    const auto add = [&](const std::string& text) { note += (note.empty() ? "" : "; ") + text; };
    if (!Text(one, "doing").empty())
      add(Text(one, "doing") + " for " + Age(Whole(one, "doing_for_ms")) + " (order " + Text(one, "order") +
          ")");
    if (!Text(one, "gave_up").empty()) add(Text(one, "gave_up"));
    if (!Text(one, "silent").empty() && Text(one, "state") == "silent")
      add("not answering for " + Age(Whole(one, "silent_for_ms")) + ": " + Text(one, "silent"));
    if (Text(one, "state") == "backoff") add("it " + Text(one, "last_end"));
    std::vector<std::string> row{
        line.name,
        Text(one, "state"),
        one.contains("uptime_ms") ? Age(Whole(one, "uptime_ms")) : "-",
        count("taken"),
        count("served"),
        count("refused"),
        count("failed"),
        count("open"),
        seen ? std::to_string(Whole(list, "converters")) : "-",
        list.contains("age_ms") && !list.at("age_ms").is_null() ? Age(Whole(list, "age_ms")) : "-",
        note};
    if (several) row.insert(row.begin(), line.agent);
    table.Add(std::move(row));
  }
  // No table where nobody answered; what was asked and why there is none stands on the error output.
  std::string text = table.empty() ? "" : table.Text();
  for (const View::Agent& agent : view.agents) {
    if (agent.status.empty()) continue;
    text += (several ? agent.target.name + ": " : std::string()) + "generation " +
            std::to_string(agent.generation) + ", " +
            std::to_string(Array(agent.status, "open_orders").size()) + " orders open";
    if (Text(agent.status, "disk") != "ok") text += "; DISK: " + Text(agent.status, "disk");
    text += "\n";
  }
  return text;
}

int Commands::Status(const Selection& selection) {
  const View view = Look(selection);
  if (settings_.json) {
    json::object agents;
    for (const View::Agent& agent : view.agents) {
      json::object one = agent.status;
      json::array chosen;
      for (const View::Line& line : view.lines) {
        if (line.agent == agent.target.name) chosen.push_back(line.instance);
      }
      if (!one.empty()) one["instances"] = std::move(chosen);
      if (one.empty()) one["error"] = "out of reach";
      agents[agent.target.name] = std::move(one);
    }
    out_ << json::serialize(json::object{{"agents", std::move(agents)}}) << '\n';
  } else if (settings_.names) {
    for (const View::Line& line : view.lines)
      out_ << (settings_.agents.size() > 1 ? line.agent + "/" : "") << line.name << '\n';
  } else {
    out_ << TableOf(view);
  }
  return view.code;
}

int Commands::Watch(const Selection& selection, milliseconds every, int times) {
  int code = kAllDid;
  for (int i = 0; times == 0 || i < times; ++i) {
    if (i > 0) std::this_thread::sleep_for(every);
    const View view = Look(selection);
    code = view.code;
    out_ << (settings_.progress ? "\x1b[H\x1b[2J" : "") << TableOf(view) << std::flush;
    if (!out_) break;
  }
  return code;
}

int Commands::Get(const Selection& selection) {
  const View view = Look(selection);
  int code = view.code;
  json::array all;
  for (const View::Line& line : view.lines) {
    const http_api::Reply reply =
        One(AgentOf(line), "GET", "/v1/instances/" + line.name, "", Timeout(kUsualTimeout));
    if (!reply.ok() || !Body(reply)) {
      code = Worse(code, Complain(line.agent, reply));
      continue;
    }
    const json::object& one = *Body(reply);
    if (settings_.json) {
      all.push_back(one);
      continue;
    }
    out_ << line.agent << "/" << line.name << "  " << Text(one, "state") << ", pid " << Whole(one, "pid")
         << ", wanted " << Text(one, "wanted") << ", generation " << Whole(one, "generation") << '\n';
    for (const char* key : {"listen", "doing", "silent", "gave_up", "last_end"}) {
      if (!Text(one, key).empty()) out_ << "  " << key << ": " << Text(one, key) << '\n';
    }
    Table classes({"CLASS", "TAKEN", "SERVED", "REFUSED", "FAILED", "OPEN"}, settings_.color);
    for (const auto& [name, counts] : Object(Object(one, "status"), "classes")) {
      if (!counts.is_object()) continue;
      std::vector<std::string> row{std::string(name)};
      for (const char* key : {"taken", "served", "refused", "failed", "open"})
        row.push_back(std::to_string(Whole(counts.get_object(), key)));
      classes.Add(std::move(row));
    }
    if (!classes.empty()) out_ << classes.Text();
    Table backends({"CONVERTER", "ZONE", "STATUS", "HEALTH", "EJECTED FOR", "IN FLIGHT", "SLOWNESS", "WARM",
                    "COLD BUDGET"},
                   settings_.color);
    for (const json::value& item : Array(one, "converters")) {
      if (!item.is_object()) continue;
      const json::object& c = item.get_object();
      const auto number = [&](const char* key) {
        const json::value* value = c.if_contains(key);
        if (!value || !value->is_number()) return std::string("-");
        char text[32];
        std::snprintf(text, sizeof text, "%.10g", value->to_number<double>());
        return std::string(text);
      };
      std::string budget = "-";
      if (c.contains("cold_budget")) {
        const json::object& cold = Object(c, "cold_budget");
        budget =
            std::to_string(Whole(cold, "sent_ms")) + " of " + std::to_string(Whole(cold, "work_ms")) + " ms";
      }
      backends.Add({Text(c, "name"), Text(c, "zone"), Text(c, "status"), Text(c, "health"),
                    c.contains("ejected_for_ms") ? Age(Whole(c, "ejected_for_ms")) : "-", number("in_flight"),
                    number("slowness"), number("warm_share"), budget});
    }
    if (!backends.empty()) out_ << backends.Text();
    if (!Text(one, "converters_error").empty())
      out_ << "  converters: " << Text(one, "converters_error") << '\n';
  }
  if (settings_.json) out_ << json::serialize(all) << '\n';
  return code;
}

}  // namespace badgerbridge::cli
