// SPDX-License-Identifier: Apache-2.0

/// \file
/// The stand-in etcd as a program.
#ifndef BADGERBRIDGE_TESTS_ETCD_STANDIN_PROCESS_H_
#define BADGERBRIDGE_TESTS_ETCD_STANDIN_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace badgerbridge::independent_client {

/// Members of the cluster.
inline constexpr std::size_t kMembers = 3;

/// The program `standin_etcd` with three members. It prints their addresses, one a line, and runs until it is
/// terminated.
class StandinProcess {
 public:
  /// Starts it, and reads the addresses. Throws std::runtime_error if it cannot be started.
  StandinProcess();
  /// Terminates it.
  ~StandinProcess();
  StandinProcess(const StandinProcess&) = delete;
  StandinProcess& operator=(const StandinProcess&) = delete;

  /// "host:port" of each member.
  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  void ReadAddresses(int descriptor);

  pid_t process_ = -1;
  std::vector<std::string> addresses_;
};

}  // namespace badgerbridge::independent_client

#endif  // BADGERBRIDGE_TESTS_ETCD_STANDIN_PROCESS_H_
