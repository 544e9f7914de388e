// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The nemesis of a run: does the plan's happenings, and its faults that only processes and links can suffer.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_NEMESIS_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_NEMESIS_H_

#include <string>

#include "multiprocess/backend_fleet.h"
#include "multiprocess/client_fleet.h"
#include "multiprocess/endpoint_publisher.h"
#include "multiprocess/etcd_cluster.h"
#include "multiprocess/links.h"
#include "multiprocess/proxy_fleet.h"
#include "multiprocess/stall_injector.h"
#include "multiprocess/watch_cache_fleet.h"
#include "simulator/model.h"

namespace badgerbridge::multiprocess {

/// The parts of an installation that a nemesis acts on.
struct NemesisTargets {
  BackendFleet& backends;         ///< All backends.
  Links& links;                   ///< All links.
  RoleProcess& discovery;         ///< The discovery process.
  EtcdCluster* etcd;              ///< Null unless the plan has it.
  WatchCacheFleet& watch_caches;  ///< All watch caches.
  ProxyFleet& proxies;            ///< All proxies.
  EndpointPublisher& publisher;   ///< How proxies learn of backends.
  ClientFleet& clients;           ///< All clients.
  StallInjector& stalls;          ///< What stalls proxies.
};

/// Acts on an installation. Its references have to outlive it.
class Nemesis {
 public:
  /// Does nothing yet.
  Nemesis(RunContext& context, const NemesisTargets& targets);

  /// Schedules all that the plan has, from the beginning of the load.
  void Start();

 private:
  using ScenarioEvent = simulator::ScenarioEvent;
  using Fault = simulator::MultiprocessFault;

  void Apply(const ScenarioEvent& happening);
  void ApplyToProxies(const ScenarioEvent& happening);
  void ApplyToBackends(const ScenarioEvent& happening);
  void ApplyToBackend(Backend& backend, const ScenarioEvent& happening);
  void OrderEvacuations(const ScenarioEvent& happening);

  void Apply(const Fault& fault);
  void FreezeProxies(const Fault& fault);
  void ThawProxies(const Fault& fault);
  void RestartProxies(const Fault& fault);
  void ThawLeader();
  Proxy* FindRunning(const std::string& name);
  void WithLeader(const std::string& fault, void (Nemesis::*act)(Proxy&));
  void FreezeAsLeader(Proxy& proxy);
  void KillAsLeader(Proxy& proxy);

  RunContext& context_;
  NemesisTargets targets_;
  std::string frozen_leader_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_NEMESIS_H_
