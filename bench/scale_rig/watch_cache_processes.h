// SPDX-License-Identifier: Apache-2.0
//
// Two tiers of relays (badgerbridge-relay) between the source and the proxies, each a process.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_WATCH_CACHE_PROCESSES_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_WATCH_CACHE_PROCESSES_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace badgerbridge::scale {

class RelayProcesses {
 public:
  // Starts them; throws std::runtime_error if one does not listen in time.
  RelayProcesses(const std::vector<std::string>& upstream, const std::string& prefix, std::size_t first_tier,
                 std::size_t second_tier);
  ~RelayProcesses();  // ends them
  RelayProcesses(const RelayProcesses&) = delete;
  RelayProcesses& operator=(const RelayProcesses&) = delete;

  // Whether the program is there, beside this one.
  static bool Available();

  const std::vector<std::string>& second_tier() const { return second_; }  // addresses
  const std::vector<pid_t>& pids() const { return pids_; }                 // the first tier's come first
  // Of the second tier: it stands still, or goes on.
  void Stop(std::size_t relay, bool stopped);

 private:
  std::vector<std::string> StartTier(const std::vector<std::string>& upstream, const std::string& prefix,
                                     std::size_t count);

  std::vector<std::string> second_;
  std::vector<pid_t> pids_;
};

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_WATCH_CACHE_PROCESSES_H_
