// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The clients of a run: paced ones and, where the plan has them, direct ones, in processes for each zone.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_CLIENT_FLEET_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_CLIENT_FLEET_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "multiprocess/proxy_fleet.h"
#include "multiprocess/role_process.h"

namespace badgerbridge::multiprocess {

/// Owns the clients' processes. Its references have to outlive it.
class ClientFleet {
 public:
  /// Starts the paced clients, which send nothing yet. The proxies' links have to be open.
  ClientFleet(RunContext& context, ProxyFleet& proxies);

  /// Waits until the paced clients of each zone have found every proxy of it ready. Throws RunFailure if a
  /// proxy ends.
  void AwaitProxies();
  /// Starts the plan's direct clients, which send nothing yet.
  void StartDirectClients();

  /// Sends a command to all clients.
  template <typename Command>
  void SendAll(const Command& command) {
    for (const auto& process : paced_) process->Send(command);
    for (const auto& process : direct_) process->Send(command);
  }
  /// Multiplies the rate of the paced clients.
  void Scale(double factor);
  /// Whether all have sent all their records.
  bool HaveReported() const;

 private:
  void StartPacedClients(int zone);
  std::vector<ProxyAddress> ProxiesOf(int zone, bool is_direct) const;

  RunContext& context_;
  ProxyFleet& proxies_;
  std::vector<std::unique_ptr<RoleProcess>> paced_;   // by zone
  std::vector<std::unique_ptr<RoleProcess>> direct_;  // by zone
  std::vector<std::size_t> ready_proxies_;            // as the clients of each zone find them
  std::vector<std::size_t> expected_proxies_;         // of each zone
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_CLIENT_FLEET_H_
