// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The files that a proxy of a run reads at its start.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_PROXY_FILES_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_PROXY_FILES_H_

#include <string>
#include <vector>

#include "multiprocess/backend_fleet.h"
#include "multiprocess/run_context.h"

namespace badgerbridge::multiprocess {

/// What a proxy's files say of the proxy itself.
struct ProxyIdentity {
  std::string name;               ///< Its name.
  int index = 0;                  ///< Its number among all proxies.
  int zone = 0;                   ///< Its zone.
  std::string listen_address;     ///< "address:port".
  std::string discovery_address;  ///< Of its endpoint list, as it reaches it.
};

/// The path of a proxy's file with this ending.
std::string PathOfProxyFile(const RunContext& context, const std::string& proxy, const std::string& ending);

/// The limit of a proxy's file descriptors.
int DescriptorLimitOf(const RunContext& context, const ProxyIdentity& proxy);

/// Writes its configuration and returns the path. `starts`: how often it has been started, with this start;
/// from the second on it knows the backends as they are now.
std::string WriteProxyConfig(const RunContext& context, const ProxyIdentity& proxy, int starts,
                             const std::vector<Backend>& backends);

/// Writes the operator's file and returns the path: the control API and, where the plan has them, the
/// membership that it follows (`watch_caches`) and zone failover (`etcd_members`).
std::string WriteOperatorFile(const RunContext& context, const ProxyIdentity& proxy,
                              const std::vector<std::string>& watch_caches,
                              const std::vector<std::string>& etcd_members);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_PROXY_FILES_H_
