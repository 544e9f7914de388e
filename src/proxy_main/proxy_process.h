// SPDX-License-Identifier: Apache-2.0
//
// The proxy's process: constructs and connects its subsystems, and handles signals. docs/architecture.md
// shows how the subsystems interact.
#ifndef BADGERBRIDGE_PROXY_MAIN_PROXY_PROCESS_H_
#define BADGERBRIDGE_PROXY_MAIN_PROXY_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <optional>

#include "admin_api/admin_api.h"
#include "operator_config/operator_file.h"
#include "proxy/backend_pool.h"
#include "proxy/clock.h"
#include "proxy/config.h"
#include "proxy/discovery.h"
#include "proxy/listener.h"
#include "proxy/proxy.h"
#ifdef BADGERBRIDGE_HAS_ETCD
#include "proxy_main/membership_source.h"
#include "proxy_main/zone_failover_source.h"
#endif

namespace badgerbridge::proxy_main {

/// Owns the event loop and everything that runs on it. SIGHUP reloads the configuration; SIGTERM and SIGINT
/// begin the graceful shutdown.
class ProxyProcess {
 public:
  /// Binds the sockets and starts the subsystems that the operator's file enables. Throws std::exception,
  /// with a one-line message, if the configuration is invalid or an address cannot be bound.
  ProxyProcess(proxy::Config config, const operator_config::OperatorFile& operator_file,
               proxy::Environment environment);
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  /// Runs the event loop until the graceful shutdown is complete.
  void Run();

 private:
  proxy::EndpointList ReadConfiguredEndpoints(proxy::EndpointListReader& reader) const;
  void StartZoneFailover(const operator_config::OperatorFile& operator_file);
  void StartMembership(const operator_config::OperatorFile& operator_file,
                       const proxy::EndpointList& configured);
  void StartDiscovery(proxy::EndpointListReader reader, const proxy::EndpointList& configured);
  void StartAdminApi(const operator_config::OperatorFile& operator_file);
  admin_api::AdminApi::Dependencies AdminApiDependencies();

  void OnEndpointList(const proxy::EndpointList& list);
  void AwaitHangupSignal();
  void AwaitStopSignal();
  void Reload();
  void Stop();

  // The order matters: members are constructed in this order and destroyed in reverse.
  const proxy::Config config_;
  const proxy::Environment environment_;
  boost::asio::io_context io_{1};
  // Installed before the subsystems start, so that no signal can end the process by its default action.
  boost::asio::signal_set hangup_signals_;
  boost::asio::signal_set stop_signals_;
  const proxy::ProxyClock clock_;
  proxy::BackendPool backends_;
  proxy::Proxy proxy_;
#ifdef BADGERBRIDGE_HAS_ETCD
  std::optional<ZoneFailoverSource> zone_failover_;
  std::optional<MembershipSource> membership_;
#endif
  std::optional<proxy::Discovery> discovery_;
  admin_api::ReloadStatus reloads_;
  std::optional<proxy::Listener> listener_;
  std::optional<admin_api::AdminApi> admin_api_;
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_PROXY_PROCESS_H_
