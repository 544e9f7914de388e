// SPDX-License-Identifier: Apache-2.0

/// \file
/// Runs the stand-in etcd as a separate process.
#ifndef BADGERBRIDGE_TESTS_ETCD_STANDIN_PROCESS_H_
#define BADGERBRIDGE_TESTS_ETCD_STANDIN_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace badgerbridge::independent_client {

/// Number of cluster members.
inline constexpr std::size_t kMembers = 3;

/// A process of the program `standin_etcd` with three members. The program prints their addresses, one per
/// line, and runs until it is terminated.
class StandinProcess {
 public:
  /// Starts the program and reads the addresses. Throws std::runtime_error if the program cannot be started.
  StandinProcess();
  /// Terminates the program.
  ~StandinProcess();
  StandinProcess(const StandinProcess&) = delete;
  StandinProcess& operator=(const StandinProcess&) = delete;

  /// The address ("host:port") of each member.
  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  void ReadAddresses(int descriptor);

  pid_t process_ = -1;
  std::vector<std::string> addresses_;
};

}  // namespace badgerbridge::independent_client

#endif  // BADGERBRIDGE_TESTS_ETCD_STANDIN_PROCESS_H_
