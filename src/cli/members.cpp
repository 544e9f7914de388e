// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-ctl members: what proxies believe of the backends, by way of their agents.
#include <ostream>

#include "cli/commands.h"
#include "cli/fields.h"
#include "cli/render.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

// "etcd (authority, current, revision 12), discovery (stale, revision 3); etcd is watching"
std::string Sources(const json::object& body) {
  std::string text;
  for (const json::value& item : Array(body, "sources")) {
    if (!item.is_object()) continue;
    const json::object& source = item.get_object();
    text += (text.empty() ? "" : ", ") + Text(source, "name") + " (" +
            (Flag(source, "authority") ? "authority, " : "") + Text(source, "freshness") + ", revision " +
            std::to_string(Whole(source, "revision")) + ")";
  }
  const json::object& etcd = Object(body, "etcd");
  text += "; etcd is " + Text(etcd, "state");
  if (Text(etcd, "state") != "watching" && !Text(etcd, "last_trouble").empty())
    text += ": " + Text(etcd, "last_trouble");
  return text;
}

}  // namespace

int Commands::Members(const Selection& selection) {
  const View view = Look(selection);
  int code = view.code;
  json::array all;
  Table table({"INSTANCE", "CONVERTER", "STATE", "WHY", "REVISION", "SINCE", "ADDRESS", "SERVICE"},
              settings_.color);
  std::string below;
  const bool several = settings_.agents.size() > 1;
  for (const View::Line& line : view.lines) {
    const std::string name = several ? line.agent + "/" + line.name : line.name;
    const http_api::Reply reply =
        One(AgentOf(line), "GET", "/v1/instances/" + line.name + "/members", "", Timeout(kUsualTimeout));
    if (!reply.ok() || !Body(reply)) {
      err_ << "badgerbridge-ctl: " << name << ": " << reply.ErrorMessage() << '\n';
      code = Worse(code, reply.status == 0 ? kOutOfReach : kSomeDidNot);
      continue;
    }
    const json::object& body = *Body(reply);
    if (settings_.json) {
      json::object one = body;
      one["instance"] = name;
      all.push_back(std::move(one));
      continue;
    }
    for (const json::value& item : Array(body, "members")) {
      if (!item.is_object()) continue;
      const json::object& member = item.get_object();
      table.Add({name, Text(member, "name"), Text(member, "state") + (Flag(member, "held") ? " HELD" : ""),
                 Text(member, "why"), std::to_string(Whole(member, "revision")), Age(Whole(member, "age_ms")),
                 Text(member, "address"), Text(member, "service")});
    }
    below += name + ": " + Sources(body) + "\n";
    if (const std::int64_t held = Whole(body, "held"); held > 0)
      below += name + ": " + std::to_string(held) +
               " converters left at once and are HELD; if they have really left: badgerbridge-ctl members "
               "release " +
               name + "\n";
    for (const json::value& item : Array(body, "sources")) {
      if (!item.is_object()) continue;
      const json::object& source = item.get_object();
      if (const std::string refused = Text(source, "refused"); !refused.empty())
        below += name + ": " + Text(source, "name") + ": " + refused + "\n";
      for (const auto& [key, reason] : Object(source, "problems"))
        below += name + ": " + Text(source, "name") + ": " + std::string(key) + ": " +
                 (reason.is_string() ? std::string(reason.get_string()) : "") +
                 "; the last good entry stays\n";
    }
  }
  if (settings_.json) {
    out_ << json::serialize(all) << '\n';
  } else {
    if (!table.empty()) out_ << table.Text();
    out_ << below;
  }
  return code;
}

int Commands::Release(const Selection& selection) {
  if (selection.empty()) {
    err_ << "badgerbridge-ctl: say which instances: names, --label, --agent, --state or --all\n";
    return kUsage;
  }
  const View view = Look(selection);
  if (view.code == kUsage) return view.code;
  int code = view.code;
  json::array all;
  Table table({"INSTANCE", "ASKED", "RESULT", "WHAT HAPPENED"}, settings_.color);
  for (const View::Line& line : view.lines) {
    const http_api::Reply reply =
        One(AgentOf(line), "POST", "/v1/instances/" + line.name + "/members/release", "{}",
            Timeout(kUsualTimeout));
    const bool done = reply.ok() && Body(reply);
    const std::string text =
        done ? std::to_string(Whole(*Body(reply), "released")) + " converters let go" : reply.ErrorMessage();
    table.Add({line.name, "release", done ? "done" : "failed", text});
    all.push_back(
        json::object{{"instance", line.name}, {"result", done ? "done" : "failed"}, {"text", text}});
    if (!done)
      code = Worse(code, reply.status == 0 ? kOutOfReach : reply.status == 403 ? kNotAllowed : kSomeDidNot);
  }
  if (settings_.json) {
    out_ << json::serialize(all) << '\n';
  } else if (!table.empty()) {
    out_ << table.Text();
  }
  return code;
}

}  // namespace badgerbridge::cli
