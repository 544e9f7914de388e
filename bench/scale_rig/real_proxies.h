// SPDX-License-Identifier: Apache-2.0
//
// A few whole proxies (badgerbridge with [etcd] in the operator's file, under an agent) beside the hollow
// ones.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_REAL_PROXIES_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_REAL_PROXIES_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "scale_rig/statistics.h"
#include "standins/site.h"

namespace badgerbridge::scale {

class RealProxies {
 public:
  // Starts them; throws std::runtime_error if the agent does not answer.
  RealProxies(std::size_t count, const std::vector<std::string>& endpoints, const std::string& prefix);

  // Until each has so many backends of its list at this revision or a later one; false after the time limit.
  bool AwaitList(std::uint64_t revision, std::size_t backends, std::chrono::milliseconds timeout);
  double cpu_ms();                  // of all together
  std::vector<double> memory_mb();  // resident, of each

 private:
  boost::asio::io_context io_{1};
  std::size_t count_;
  standins::Site site_;
};

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_REAL_PROXIES_H_
