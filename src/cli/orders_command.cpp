// SPDX-License-Identifier: Apache-2.0
#include "cli/orders_command.h"

#include <ostream>
#include <utility>

#include "cli/json_fields.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

constexpr unsigned kNotFound = 404;

std::vector<http_api::Reply> AskAll(AgentSession& session, const std::string& path) {
  std::vector<AgentCall> calls;
  for (const AgentTarget& agent : session.agents())
    calls.push_back({agent.target, "GET", path, "", session.TimeoutOr(kDefaultCallTimeout)});
  return session.CallAll(std::move(calls));
}

std::string StateOf(const json::object& order) {
  const std::string superseded_by = StringField(order, "superseded_by");
  if (!superseded_by.empty()) return "superseded by " + superseded_by;
  if (BoolField(order, "halted")) return "halted";
  return BoolField(order, "ended") ? "ended" : "open";
}

/// "2 done, 1 failed"
std::string ResultsOf(const json::object& order) {
  std::string text;
  for (const auto& [result, count] : ObjectField(order, "results")) {
    if (!text.empty()) text += ", ";
    text += json::serialize(count) + " " + std::string(result);
  }
  return text;
}

void AddOrderRows(Table& table, const std::string& agent, const json::object& body) {
  for (const json::value& item : ArrayField(body, "orders")) {
    if (!item.is_object()) continue;
    const json::object& order = item.get_object();
    table.Add({agent, StringField(order, "id"), StringField(order, "verb"), StringField(order, "who"),
               std::to_string(IntegerField(order, "generation")), FormatAge(IntegerField(order, "age_ms")),
               StateOf(order), ResultsOf(order)});
  }
}

void AddInstanceRows(Table& table, const std::string& agent, const json::object& order) {
  for (const json::value& item : ArrayField(order, "instances")) {
    if (!item.is_object()) continue;
    const json::object& instance = item.get_object();
    table.Add({agent, StringField(instance, "instance"), StringField(instance, "result"),
               StringField(instance, "text"), FormatAge(IntegerField(instance, "took_ms"))});
  }
}

std::string OrderHeading(const json::object& order) {
  return "order " + StringField(order, "id") + ": " + StringField(order, "verb") + " by " +
         StringField(order, "who") + ", generation " + std::to_string(IntegerField(order, "generation")) +
         ", " + FormatAge(IntegerField(order, "age_ms")) + " ago" +
         (BoolField(order, "ended") ? ", ended" : ", open") + "\n";
}

/// `heading` is for the table alone, which is printed also without rows.
void WriteOrders(AgentSession& session, const json::object& all, const std::string& heading,
                 const Table& table) {
  if (session.output().json) {
    session.out() << json::serialize(all) << '\n';
  } else {
    session.out() << heading << table.ToString();
  }
}

}  // namespace

ExitCode ListOrders(AgentSession& session) {
  ExitCode code = ExitCode::kSuccess;
  json::object all;
  Table table({"AGENT", "ORDER", "VERB", "WHO", "GENERATION", "AGE", "STATE", "RESULTS"},
              session.output().color);
  const std::vector<http_api::Reply> replies = AskAll(session, "/v1/orders");
  for (std::size_t i = 0; i < replies.size(); ++i) {
    const std::string& agent = session.agents()[i].name;
    if (const json::object* body = BodyOf(replies[i])) {
      all[agent] = *body;
      AddOrderRows(table, agent, *body);
    } else {
      code = Worst(code, session.ReportFailedReply(agent, replies[i]));
    }
  }
  WriteOrders(session, all, "", table);
  return code;
}

Result<ExitCode> ShowOrder(AgentSession& session, const std::string& id) {
  ExitCode code = ExitCode::kSuccess;
  json::object all;
  std::string heading;
  Table table({"AGENT", "INSTANCE", "RESULT", "WHAT HAPPENED", "TOOK"}, session.output().color);
  const std::vector<http_api::Reply> replies = AskAll(session, "/v1/orders/" + id);
  for (std::size_t i = 0; i < replies.size(); ++i) {
    const std::string& agent = session.agents()[i].name;
    if (const json::object* order = BodyOf(replies[i])) {
      all[agent] = *order;
      heading += OrderHeading(*order);
      AddInstanceRows(table, agent, *order);
    } else if (replies[i].status != kNotFound) {
      code = Worst(code, session.ReportFailedReply(agent, replies[i]));
    }
  }
  if (all.empty() && code == ExitCode::kSuccess) return UnknownOrder{id};
  WriteOrders(session, all, heading, table);
  return code;
}

}  // namespace badgerbridge::cli
