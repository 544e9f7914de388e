// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The agent's API: HTTP/1.1 and JSON (docs/operators/fleet.md lists the calls).
#ifndef BADGERBRIDGE_FLEET_AGENT_API_H_
#define BADGERBRIDGE_FLEET_AGENT_API_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "api/message.h"
#include "fleet/agent_runtime.h"
#include "fleet/request_body.h"

namespace badgerbridge::fleet {

/// Answers requests. For the event loop of the runtime; not thread-safe.
class AgentApi {
 public:
  /// The runtime must outlive the API.
  explicit AgentApi(AgentRuntime& agent) : agent_(agent) {}

  /// The answer to one request, which may wait for instances.
  boost::asio::awaitable<api::Response> Handle(api::Request request, api::Peer peer);

 private:
  boost::asio::awaitable<api::Response> HandleGet(api::Request request, api::Peer peer);
  boost::asio::awaitable<api::Response> HandlePost(api::Request request, api::Peer peer);
  boost::asio::awaitable<api::Response> GetInstance(std::string name);
  /// With wait_ms, answers once the order has ended, or that time is over.
  boost::asio::awaitable<api::Response> GetOrder(std::string id, api::Request request);
  /// Sends the request on to the instance's control API, and its answer back.
  boost::asio::awaitable<api::Response> ForwardToInstance(std::string name, std::string path, api::Peer peer,
                                                          bool is_write);
  api::Response GetLog(const std::string& name, const api::Request& request) const;
  api::Response PostOrder(const api::Request& request, const api::Peer& peer);
  api::Response PostFleet(const api::Request& request, const api::Peer& peer, bool apply);
  api::Response ApplyFleet(FleetRequest request, const FleetFile& file, bool apply);
  api::Response SubmitOrder(const OrderRequest& request);

  AgentRuntime& agent_;
};

}  // namespace badgerbridge::fleet

#endif  // BADGERBRIDGE_FLEET_AGENT_API_H_
