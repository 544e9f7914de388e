// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/roles.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr int kNoSuchRole = -1;

}  // namespace

int RunRole(const std::string& name) {
  if (name == "converters") return RunBackendsRole();
  if (name == "clients") return RunClientsRole();
  if (name == "raw_clients") return RunDirectClientsRole();
  if (name == "discovery") return RunDiscoveryRole();
  if (name == "wire") return RunLinkProxyRole();
  if (name == "etcd") return RunEtcdRole();
  return kNoSuchRole;
}

}  // namespace badgerbridge::multiprocess
