// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Prints what came of submitted orders.
#ifndef BADGERBRIDGE_CLI_ORDER_REPORT_H_
#define BADGERBRIDGE_CLI_ORDER_REPORT_H_

#include <vector>

#include "cli/agent_session.h"
#include "cli/order_submission.h"

namespace badgerbridge::cli {

/// Prints the results of the orders, which were made with these options. Returns the worst exit code of all.
ExitCode ReportOrders(AgentSession& session, const OrderOptions& options,
                      const std::vector<SubmittedOrder>& orders);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ORDER_REPORT_H_
