// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// How the proxies of a run learn of backends: by discovery, or by etcd through watch caches.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ENDPOINT_PUBLISHER_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ENDPOINT_PUBLISHER_H_

#include <string>
#include <vector>

#include "multiprocess/backend_fleet.h"
#include "multiprocess/etcd_cluster.h"
#include "multiprocess/proxy_fleet.h"
#include "multiprocess/role_process.h"
#include "simulator/random.h"

namespace badgerbridge::multiprocess {

/// Publishes backends to all proxies. Its references have to outlive it.
class EndpointPublisher {
 public:
  /// `etcd`: null unless the plan has it.
  EndpointPublisher(RunContext& context, RoleProcess& discovery, EtcdCluster* etcd,
                    const ProxyFleet& proxies);

  /// Publishes a backend as it is: at once before the load begins, then to each proxy after a time of its
  /// own.
  void Publish(const Backend& backend);
  /// While it is paused, discovery's notifications are held back.
  void SetPaused(bool is_paused);

 private:
  void WriteToEtcd(const Backend& backend);

  RunContext& context_;
  RoleProcess& discovery_;
  EtcdCluster* etcd_;
  const ProxyFleet& proxies_;
  simulator::Random random_;
  bool is_paused_ = false;
  std::vector<SetEndpoint> held_back_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ENDPOINT_PUBLISHER_H_
