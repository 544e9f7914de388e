// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The agent's API: HTTP/1.1 and JSON (docs/operators/agent.md lists the calls).
#ifndef BADGERBRIDGE_AGENT_AGENT_API_H_
#define BADGERBRIDGE_AGENT_AGENT_API_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "agent/agent_runtime.h"
#include "agent/request_body.h"
#include "http_api/message.h"

namespace badgerbridge::agent {

/// Handles API requests on the runtime's event loop; not thread-safe.
class AgentApi {
 public:
  /// The runtime must outlive the API.
  explicit AgentApi(AgentRuntime& agent) : agent_(agent) {}

  /// Returns the response to one request. May suspend until instances respond.
  boost::asio::awaitable<http_api::Response> Handle(http_api::Request request, http_api::Peer peer);

 private:
  boost::asio::awaitable<http_api::Response> HandleGet(http_api::Request request, http_api::Peer peer);
  boost::asio::awaitable<http_api::Response> HandlePost(http_api::Request request, http_api::Peer peer);
  boost::asio::awaitable<http_api::Response> GetInstance(std::string name);
  /// Long-polls with wait_ms: responds when the order has ended or after that time.
  boost::asio::awaitable<http_api::Response> GetOrder(std::string id, http_api::Request request);
  /// Forwards the request to the instance's control API and returns its response.
  boost::asio::awaitable<http_api::Response> ForwardToInstance(std::string name, std::string path,
                                                               http_api::Peer peer, bool is_write);
  http_api::Response GetLog(const std::string& name, const http_api::Request& request) const;
  http_api::Response PostOrder(const http_api::Request& request, const http_api::Peer& peer);
  http_api::Response PostFleet(const http_api::Request& request, const http_api::Peer& peer, bool apply);
  http_api::Response ApplyFleet(FleetRequest request, const FleetFile& file, bool apply);
  http_api::Response SubmitOrder(const OrderRequest& request);

  AgentRuntime& agent_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AGENT_API_H_
