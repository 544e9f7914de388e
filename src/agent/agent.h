// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The agent of one machine: runs and supervises the instances of a fleet file and serves the HTTP API, all
/// on one io_context.
#ifndef BADGERBRIDGE_AGENT_AGENT_H_
#define BADGERBRIDGE_AGENT_AGENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>

#include "agent/agent_api.h"
#include "agent/agent_runtime.h"
#include "agent/error.h"
#include "agent/fleet_file.h"
#include "http_api/server.h"
#include "http_api/tls.h"

namespace badgerbridge::agent {

/// Active while the io_context runs. Destroying it leaves the instances running. Not thread-safe.
class Agent {
 public:
  /// Restores the stored state, adopts running instances, opens the API sockets, and starts the instances
  /// that are desired to run. `file` must have been parsed without problems.
  static Result<std::unique_ptr<Agent>> Create(boost::asio::io_context& io, const FleetFile& file,
                                               std::shared_ptr<Disk> disk = std::make_shared<Disk>());
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  /// The instances and orders. Valid as long as the agent.
  const FleetController& controller() const { return runtime_->controller(); }
  /// The address of the TLS listener; nullopt without [agent.tls].
  std::optional<boost::asio::ip::tcp::endpoint> tls_address() const;

 private:
  explicit Agent(std::unique_ptr<AgentRuntime> runtime) : runtime_(std::move(runtime)), api_(*runtime_) {}

  Result<void> Listen(boost::asio::io_context& io, const AgentSettings& settings);

  std::unique_ptr<AgentRuntime> runtime_;
  AgentApi api_;
  std::unique_ptr<http_api::UnixServer> unix_server_;
  std::unique_ptr<http_api::TlsServer> tls_server_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AGENT_H_
