// SPDX-License-Identifier: Apache-2.0
#include "cli/order_command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "cli/order_report.h"
#include "cli/order_submission.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

constexpr char kRoll[] = "roll";
constexpr char kOrdersPath[] = "/v1/orders";

json::array NamesAt(const std::string& agent, const FleetStatus& fleet) {
  json::array names;
  for (const SelectedInstance& instance : fleet.instances) {
    if (instance.agent == agent) names.emplace_back(instance.name);
  }
  return names;
}

/// The orders, one for each agent that has a selected instance.
std::vector<SubmittedOrder> MakeOrders(const FleetStatus& fleet, const std::string& verb,
                                       const OrderOptions& options) {
  const bool rolls = verb == kRoll;
  std::vector<SubmittedOrder> orders;
  for (const AgentStatus& agent : fleet.agents) {
    json::array names = NamesAt(agent.target.name, fleet);
    if (names.empty()) continue;
    SubmittedOrder order;
    order.agent = agent.target;
    order.id = OrderIdOf(options);
    order.request = {{"id", order.id},
                     {"verb", rolls ? "restart" : verb},
                     {"instances", std::move(names)},
                     {"against", options.against != 0 ? options.against : agent.generation},
                     {"at_most", rolls ? std::max(1U, options.at_most) : options.at_most}};
    orders.push_back(std::move(order));
  }
  return orders;
}

ExitCode SubmitAndReport(AgentSession& session, const OrderOptions& options,
                         std::vector<SubmittedOrder> orders) {
  OrderSubmission submission(session, options, kOrdersPath, std::move(orders));
  return ReportOrders(session, options, submission.Run());
}

/// One agent after the other, and none after one that failed: never more instances at once than asked for.
ExitCode RollAgents(AgentSession& session, const OrderOptions& options,
                    const std::vector<SubmittedOrder>& orders) {
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const ExitCode code = SubmitAndReport(session, options, {orders[i]});
    if (code == ExitCode::kSuccess) continue;
    for (std::size_t j = i + 1; j < orders.size(); ++j)
      session.Report(RollHalted{orders[j].agent.name, orders[i].agent.name});
    return code;
  }
  return ExitCode::kSuccess;
}

}  // namespace

Result<ExitCode> OrderInstances(AgentSession& session, const std::string& verb, const Selection& selection,
                                const OrderOptions& options) {
  if (selection.empty()) return MissingSelection{};
  const FleetStatus fleet = ReadFleetStatus(session, selection);
  if (fleet.code != ExitCode::kSuccess && fleet.instances.empty()) return fleet.code;
  // A misspelt name must not shrink the order silently.
  if (fleet.code == ExitCode::kUsage) return fleet.code;
  std::vector<SubmittedOrder> orders = MakeOrders(fleet, verb, options);
  if (orders.empty()) return Worst(fleet.code, session.Report(EmptySelection{}));
  const ExitCode code = verb == kRoll ? RollAgents(session, options, orders)
                                      : SubmitAndReport(session, options, std::move(orders));
  return Worst(fleet.code, code);
}

}  // namespace badgerbridge::cli
