// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/etcd_cluster.h"

#include <utility>

namespace badgerbridge::multiprocess {

namespace {

constexpr int kLinkHost = 6;  // of the links to etcd, in each zone's addresses

}  // namespace

EtcdCluster::EtcdCluster(RunContext& context)
    : context_(context),
      process_(context, "etcd", "etcd"),
      addresses_by_zone_(static_cast<std::size_t>(context.model.zones)) {
  process_.On<DecisionAudit>([this](const DecisionAudit& audit) { audit_ = audit; });
  process_.On<LeaderFound>([this](const LeaderFound& found) {
    if (on_leader_) std::exchange(on_leader_, nullptr)(found.proxy);
  });
  process_.Send(BeginEtcd{context.model.multiprocess.etcd_members, kZoneFailoverPrefix});
}

void EtcdCluster::OpenLinks(Links& links) {
  for (int zone = 0; zone < context_.model.zones; ++zone) {
    for (const std::string& member : addresses()) {
      addresses_by_zone_[static_cast<std::size_t>(zone)].push_back(
          links.Open(ZoneName(zone), kEtcdGroup, member, context_.addresses.HostOf(zone, kLinkHost)));
    }
  }
}

const std::vector<std::string>& EtcdCluster::AddressesFor(int zone) const {
  return addresses_by_zone_[static_cast<std::size_t>(zone)];
}

void EtcdCluster::RequestLeader(std::function<void(const std::string&)> on_leader) {
  on_leader_ = std::move(on_leader);
  process_.Send(FindLeader{});
}

}  // namespace badgerbridge::multiprocess
