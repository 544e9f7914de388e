// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The proxies of a run: how each is started, signalled, restarted and stopped, and what that excuses.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_PROXY_FLEET_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_PROXY_FLEET_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "multiprocess/backend_fleet.h"
#include "multiprocess/child_process.h"
#include "multiprocess/etcd_cluster.h"
#include "multiprocess/links.h"
#include "multiprocess/proxy_files.h"
#include "multiprocess/run_context.h"
#include "multiprocess/watch_cache_fleet.h"

namespace badgerbridge::multiprocess {

/// A proxy of a run.
struct Proxy {
  ProxyIdentity identity;                 ///< What its files say of it.
  std::string client_address;             ///< How paced clients reach it, through the link proxy.
  std::unique_ptr<ChildProcess> process;  ///< Its process, which may have ended.
  int starts = 0;                         ///< How often it was started.
  std::optional<double> down_since_ms;    ///< Since when it is killed, or ended by itself.
  std::optional<double> frozen_since_ms;  ///< Since when it is stopped by SIGSTOP.
  std::optional<double> term_sent_ms;     ///< When it was asked to end, to be restarted once it has.
  double stalled_ms = 0;                  ///< In all, by the stall injector.
  double stalled_before_term_ms = 0;      ///< Of that, until it was asked to end.
};

/// Owns the proxies' processes. Its references have to outlive it.
class ProxyFleet {
 public:
  /// Chooses the proxies' addresses; starts nothing. `etcd`: null if the plan has none.
  ProxyFleet(RunContext& context, const BackendFleet& backends, const WatchCacheFleet& watch_caches,
             const EtcdCluster* etcd);

  /// All proxies, by number.
  std::vector<Proxy>& proxies() { return proxies_; }
  /// All proxies, by number.
  const std::vector<Proxy>& proxies() const { return proxies_; }
  /// Their names, by number.
  std::vector<std::string> Names() const;
  /// Of each restart: how many ms until the proxy was ready; nothing if it never was.
  const std::vector<std::optional<double>>& restart_times_ms() const { return restart_times_ms_; }

  /// Opens the clients' links to the proxies, and theirs to discovery, whose addresses are by proxy.
  void OpenLinks(Links& links, const std::vector<std::string>& discovery_addresses);
  /// Starts all proxies.
  void Start();
  /// Ends one by SIGKILL, unless it is down.
  void Kill(Proxy& proxy);
  /// Starts one that is down again.
  void Revive(Proxy& proxy);
  /// Stops one by SIGSTOP. It has to be running.
  void Freeze(Proxy& proxy);
  /// Continues one that is frozen.
  void Thaw(Proxy& proxy);
  /// Asks one to end by SIGTERM; CheckEnded starts it again.
  void Terminate(Proxy& proxy);
  /// Throws RunFailure (kProcessEnded) if one has ended.
  void RequireRunning();
  /// Looks after those that have ended: restarts those that were asked to, and notes those that were not, or
  /// that take too long. `max_deadline_ms`: the longest of a request.
  void CheckEnded(double max_deadline_ms);
  /// Records the disruptions that still go on.
  void RecordOpenDisruptions();
  /// Asks all to end, and waits until they have.
  void Stop();

 private:
  void StartOne(Proxy& proxy);
  void Restart(Proxy& proxy);
  void RecordDisruption(const Proxy& proxy, double from_ms, double until_ms, DisruptionKind kind);
  boost::asio::awaitable<void> MeasureReady(std::size_t proxy, std::size_t restart);
  boost::asio::awaitable<bool> ProbeReady(std::string address);

  RunContext& context_;
  const BackendFleet& backends_;
  const WatchCacheFleet& watch_caches_;
  const EtcdCluster* etcd_;
  std::vector<Proxy> proxies_;
  std::vector<std::optional<double>> restart_times_ms_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_PROXY_FLEET_H_
