// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The stand-in members of etcd of a run.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ETCD_CLUSTER_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ETCD_CLUSTER_H_

#include <functional>
#include <string>
#include <vector>

#include "multiprocess/links.h"
#include "multiprocess/role_process.h"

namespace badgerbridge::multiprocess {

/// Owns the process of all members.
class EtcdCluster {
 public:
  /// Starts the members that the plan asks for.
  explicit EtcdCluster(RunContext& context);

  /// The members' process.
  RoleProcess& process() { return process_; }
  /// What etcd holds of zone failover, once it has reported.
  const DecisionAudit& audit() const { return audit_; }

  /// Opens each zone's links to the members.
  void OpenLinks(Links& links);
  /// How the proxies of a zone reach the members.
  const std::vector<std::string>& AddressesFor(int zone) const;
  /// The members' own addresses.
  const std::vector<std::string>& addresses() const { return process_.addresses(); }

  /// Finds the leader of zone failover, and calls with its name, empty if there is none.
  void RequestLeader(std::function<void(const std::string&)> on_leader);

 private:
  RunContext& context_;
  RoleProcess process_;
  DecisionAudit audit_;
  std::vector<std::vector<std::string>> addresses_by_zone_;
  std::function<void(const std::string&)> on_leader_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ETCD_CLUSTER_H_
