// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A multi-process run: plays a scenario on sockets, with real proxies and everything around them in
/// processes of this program (roles.h), all links between zones, clients and discovery through the link
/// proxy. The scenario is the simulator's, at the size that the file says; its happenings mean here what they
/// mean there, and [together] adds what only processes and links can suffer.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_RUN_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_RUN_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "multiprocess/backend_fleet.h"
#include "multiprocess/client_fleet.h"
#include "multiprocess/endpoint_publisher.h"
#include "multiprocess/etcd_cluster.h"
#include "multiprocess/links.h"
#include "multiprocess/nemesis.h"
#include "multiprocess/proxy_fleet.h"
#include "multiprocess/run_context.h"
#include "multiprocess/run_outcome.h"
#include "multiprocess/stall_injector.h"
#include "multiprocess/watch_cache_fleet.h"
#include "multiprocess/zone_failover_monitor.h"
#include "simulator/model.h"

namespace badgerbridge::multiprocess {

/// One run of a plan. Its end ends every process that it started.
class MultiprocessRun {
 public:
  /// Starts the roles. Throws RunFailure if they can't be started.
  MultiprocessRun(boost::asio::io_context& io, simulator::Model model, std::uint64_t seed,
                  RunPrograms programs);

  /// Plays the plan to its end, once. Throws RunFailure if the installation does not come up.
  RunOutcome Play();

 private:
  void AwaitRoles();
  void OpenLinks();
  void StartInstallation();
  void MonitorZoneFailover();
  void StopMonitoring();
  void BeginLoad();
  void PlayLoad();
  void EndLoad();
  void CollectRecords();
  RunOutcome TakeOutcome();

  RunContext context_;
  BackendFleet backends_;
  Links links_;
  RoleProcess discovery_;
  std::unique_ptr<EtcdCluster> etcd_;  // null unless the plan has it
  WatchCacheFleet watch_caches_;
  ProxyFleet proxies_;
  EndpointPublisher publisher_;
  StallInjector stalls_;
  std::unique_ptr<ClientFleet> clients_;                        // null until the proxies are started
  std::unique_ptr<Nemesis> nemesis_;                            // null until the load begins
  std::unique_ptr<ZoneFailoverMonitor> zone_failover_monitor_;  // null unless the plan has zone failover
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_RUN_H_
