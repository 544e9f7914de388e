// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The roles that are played by processes of this program: `multiprocess_test role NAME`. Each takes commands
/// on its standard input and writes events on its standard output (messages.h), and ends when its input ends:
/// none outlives the run. The answer to ReportRecords is all its records, then Ended.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ROLES_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ROLES_H_

#include <string>

namespace badgerbridge::multiprocess {

/// \name Roles. Each returns the exit code of its process.
/// @{

/// The backends of one zone: HTTP around simulator::Backend, the simulator's model of one.
int RunBackendsRole();
/// The paced clients of one zone, which choose among the proxies that are ready.
int RunClientsRole();
/// The direct clients of one zone (direct_clients.h).
int RunDirectClientsRole();
/// Discovery: an endpoint list and its watch for each proxy, each notified at a time of its own.
int RunDiscoveryRole();
/// The link proxy between the groups.
int RunLinkProxyRole();
/// Stand-in members of etcd.
int RunEtcdRole();

/// @}

/// Runs the role of this name, as the command line has it. Negative if there is none.
int RunRole(const std::string& name);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ROLES_H_
