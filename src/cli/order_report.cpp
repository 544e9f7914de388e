// SPDX-License-Identifier: Apache-2.0
#include "cli/order_report.h"

#include <utility>

#include "cli/json_fields.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

json::object OrderJson(const SubmittedOrder& order) {
  json::object entry{{"agent", order.agent.name}, {"id", order.id}, {"taken", order.accepted}};
  if (!order.error.empty()) entry["error"] = order.error;
  if (!order.state.empty()) entry["order"] = order.state;
  return entry;
}

std::string VerbOf(const SubmittedOrder& order) {
  const std::string verb = StringField(order.request, "verb");
  return verb.empty() ? "apply" : verb;
}

void AddDryRunRows(InstanceTable& table, const SubmittedOrder& order) {
  for (const json::value& name : ArrayField(order.state, "instances"))
    table.Add(order.agent.name, {StringOf(name), VerbOf(order), "dry run", "would be asked", "-"});
}

/// Adds a row for each instance. Returns the exit code that follows from their results.
ExitCode AddResultRows(InstanceTable& table, const SubmittedOrder& order) {
  ExitCode code = ExitCode::kSuccess;
  for (const json::value& item : ArrayField(order.state, "instances")) {
    if (!item.is_object()) continue;
    const json::object& instance = item.get_object();
    const std::string result = StringField(instance, "result");
    std::string text = StringField(instance, "text");
    if (result == "running")
      text = "still " + text + " for " + FormatAge(IntegerField(instance, "doing_for_ms"));
    if (result != "done") code = ExitCode::kPartialFailure;
    table.Add(order.agent.name, {StringField(instance, "instance"), VerbOf(order), result, text,
                                 FormatAge(IntegerField(instance, "took_ms"))});
  }
  return code;
}

/// Reports an order that was accepted and that has not ended.
ExitCode ReportOpenOrder(AgentSession& session, const OrderOptions& options, const SubmittedOrder& order) {
  if (order.unreachable) return session.Report(OrderUnreachable{order.agent.name, order.id});
  const ExitCode code = session.Report(OrderUnfinished{order.agent.name, order.id});
  return options.no_wait ? ExitCode::kSuccess : code;
}

ExitCode ReportAcceptedOrder(AgentSession& session, const OrderOptions& options, const SubmittedOrder& order,
                             InstanceTable& table) {
  if (options.dry_run) {
    AddDryRunRows(table, order);
    return ExitCode::kSuccess;
  }
  const ExitCode result_code = AddResultRows(table, order);
  const ExitCode code = options.no_wait ? ExitCode::kSuccess : result_code;
  return order.ended ? code : Worst(code, ReportOpenOrder(session, options, order));
}

}  // namespace

ExitCode ReportOrders(AgentSession& session, const OrderOptions& options,
                      const std::vector<SubmittedOrder>& orders) {
  ExitCode code = ExitCode::kSuccess;
  json::array all;
  InstanceTable table(session, {"INSTANCE", "ASKED", "RESULT", "WHAT HAPPENED", "TOOK"});
  for (const SubmittedOrder& order : orders) {
    code = Worst(code, order.code);
    all.push_back(OrderJson(order));
    if (order.accepted) code = Worst(code, ReportAcceptedOrder(session, options, order, table));
  }
  WriteJsonOrTable(session.out(), session.output().json, all, table.table());
  return code;
}

}  // namespace badgerbridge::cli
