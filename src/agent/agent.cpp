// SPDX-License-Identifier: Apache-2.0
#include "agent/agent.h"

#include <chrono>
#include <exception>
#include <utility>

#include "http_api/address.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::size_t kMaxHeaderBytes = 16 << 10;
constexpr std::size_t kMaxBodyBytes = 2 << 20;
constexpr milliseconds kRequestTimeout{5000};
constexpr milliseconds kIdleTimeout{60000};

}  // namespace

Result<std::unique_ptr<Agent>> Agent::Create(asio::io_context& io, const FleetFile& file,
                                             std::shared_ptr<Disk> disk) {
  Result<std::unique_ptr<AgentRuntime>> runtime = AgentRuntime::Create(io, file, std::move(disk));
  if (!runtime) return runtime.error();
  std::unique_ptr<Agent> agent(new Agent(std::move(*runtime)));
  if (const Result<void> listening = agent->Listen(io, file.agent); !listening) return listening.error();
  agent->runtime_->Start();
  return agent;
}

Result<void> Agent::Listen(asio::io_context& io, const AgentSettings& settings) {
  const http_api::Handler handler = [this](http_api::Request request, http_api::Peer peer) {
    return api_.Handle(std::move(request), std::move(peer));
  };
  const http_api::ServerLimits limits{settings.max_connections, kMaxHeaderBytes, kMaxBodyBytes,
                                      kRequestTimeout, kIdleTimeout};
  try {
    unix_server_ =
        std::make_unique<http_api::UnixServer>(io, settings.socket, settings.allow_uids, limits, handler);
    if (!settings.tls) return {};
    const TlsSettings& tls = *settings.tls;
    const auto address = *http_api::ParseAddress(tls.listen);  // checked when the file was read
    const http_api::TlsFiles files{tls.certificate, tls.key, tls.client_ca};
    tls_server_ = std::make_unique<http_api::TlsServer>(io, address, files, tls.roles, limits, handler);
    return {};
  } catch (const std::exception& error) {
    return AgentError{AgentErrorKind::kListenFailed, settings.socket, error.what()};
  }
}

std::optional<asio::ip::tcp::endpoint> Agent::tls_address() const {
  if (!tls_server_) return std::nullopt;
  return tls_server_->address();
}

}  // namespace badgerbridge::agent
