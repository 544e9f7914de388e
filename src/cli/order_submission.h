// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Submits orders to agents, and follows them until they have ended or time is up.
#ifndef BADGERBRIDGE_CLI_ORDER_SUBMISSION_H_
#define BADGERBRIDGE_CLI_ORDER_SUBMISSION_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "cli/agent_session.h"
#include "cli/order_options.h"

namespace badgerbridge::cli {

/// An order to one agent, and what is known of it.
struct SubmittedOrder {
  AgentTarget agent;                   ///< the agent
  std::string id;                      ///< the same id again is the same order
  boost::json::object request;         ///< the body of the request
  boost::json::object state;           ///< the agent's newest answer about it
  std::string error;                   ///< why it was not accepted; empty: it was
  ExitCode code = ExitCode::kSuccess;  ///< of a request that failed
  bool accepted = false;               ///< the agent has it
  bool ended = false;                  ///< nothing is awaited any more
  bool unreachable = false;            ///< the agent did not answer when it was last asked
};

/// The id of the options, or a random one.
std::string OrderIdOf(const OrderOptions& options);

/// Orders on their way. Used once.
class OrderSubmission {
 public:
  /// `path` of the agents' API takes the orders. The session and the options must outlive this.
  OrderSubmission(AgentSession& session, const OrderOptions& options, std::string path,
                  std::vector<SubmittedOrder> orders);

  /// Submits all orders, and waits until they have ended, unless the options say otherwise. A submission
  /// whose answer was lost is repeated.
  const std::vector<SubmittedOrder>& Run();

 private:
  std::chrono::milliseconds TimeLeft() const;
  void CompleteRequests();
  AgentCall SubmissionOf(const SubmittedOrder& order) const;
  void SubmitAll();
  void RetryUntilAnswered(const SubmittedOrder& order, http_api::Reply& reply);
  void OnSubmissionReply(SubmittedOrder& order, const http_api::Reply& reply);
  std::vector<SubmittedOrder*> OpenOrders();
  void PollOnce(const std::vector<SubmittedOrder*>& open);
  void OnPollReply(SubmittedOrder& order, const http_api::Reply& reply);
  void ShowProgress();

  AgentSession& session_;
  const OrderOptions& options_;
  std::string path_;
  std::vector<SubmittedOrder> orders_;
  std::chrono::steady_clock::time_point due_;
};

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ORDER_SUBMISSION_H_
