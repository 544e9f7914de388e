// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The watch caches of a run, in two tiers between etcd and the proxies.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_WATCH_CACHE_FLEET_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_WATCH_CACHE_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "multiprocess/child_process.h"
#include "multiprocess/links.h"
#include "multiprocess/run_context.h"
#include "simulator/model.h"

namespace badgerbridge::multiprocess {

/// Owns the watch caches' processes. The first of each region follows etcd, the others follow those, and the
/// proxies follow the others.
class WatchCacheFleet {
 public:
  /// Chooses their addresses; starts nothing.
  explicit WatchCacheFleet(RunContext& context);

  /// Whether the plan has any.
  bool is_enabled() const { return !caches_.empty(); }
  /// Opens the links from the proxies' zones, and those to the upstreams. `etcd_addresses`: of its members.
  void OpenLinks(Links& links, const std::vector<std::string>& etcd_addresses);
  /// Starts all of them.
  void Start();
  /// How the proxies of a zone reach the ones that they follow, those of their own region first.
  std::vector<std::string> AddressesFor(int zone) const;

  /// Does a plan's `relay_…` fault.
  void Apply(const simulator::MultiprocessFault& fault, Links& links);
  /// Notes those that have ended: by SIGTERM, or without having been asked to, which is a fault.
  void CheckEnded();
  /// Asks all to end, and waits until they have.
  void Stop();

 private:
  struct WatchCache {
    std::string name;
    std::string listen_address;
    int region = 0;
    bool follows_etcd = false;                   // else it follows those that do
    std::vector<std::string> upstreams;          // as it reaches them
    std::vector<std::string> addresses_by_zone;  // how the proxies of each zone reach it
    std::unique_ptr<ChildProcess> process;       // null while it is down
  };

  void StartOne(WatchCache& cache);
  void SetCuts(const WatchCache& cache, Links& links, bool is_in_cut, bool is_out_cut) const;
  void SignalOne(WatchCache& cache, const std::string& what);

  RunContext& context_;
  std::vector<WatchCache> caches_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_WATCH_CACHE_FLEET_H_
