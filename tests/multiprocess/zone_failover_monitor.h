// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Observes zone failover while a run goes on: polls every proxy's view (GET /v1/zones), and checks the sum
/// of all quotas against the zones' limits, whatever epochs the proxies follow.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_FAILOVER_MONITOR_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_FAILOVER_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "multiprocess/zone_failover_view.h"

namespace badgerbridge::multiprocess {

/// Polls all proxies. For one thread, that of its io_context.
class ZoneFailoverMonitor {
 public:
  /// Called with a line for people.
  using OnChange = std::function<void(const std::string&)>;

  /// `sockets`: paths of the control API's sockets, by proxy. `on_change` is called when a zone's state, or
  /// the leader, has changed.
  ZoneFailoverMonitor(boost::asio::io_context& io, std::vector<std::string> zones,
                      const std::map<std::string, std::string>& sockets, OnChange on_change);
  ~ZoneFailoverMonitor();
  ZoneFailoverMonitor(const ZoneFailoverMonitor&) = delete;
  ZoneFailoverMonitor& operator=(const ZoneFailoverMonitor&) = delete;

  /// Begins to poll.
  void Start();
  /// Ends polling.
  void Stop();

  /// The highest epoch so far; 0 until there is a decision.
  std::uint64_t epoch() const { return epoch_; }
  /// The largest MaxQuotaRatio so far.
  double max_quota_ratio() const { return max_quota_ratio_; }
  /// How often the views of at least half of the proxies could be checked together.
  std::size_t complete_checks() const { return complete_checks_; }
  /// A line for each proxy, with its last view, for people.
  std::vector<std::string> Describe() const;

 private:
  struct PolledProxy {
    std::string socket;
    bool is_polling = false;
    std::optional<ProxyZoneView> view;
    std::chrono::steady_clock::time_point received_at{};
  };

  void Poll();
  void PollProxy(PolledProxy& proxy);
  void CheckViews();
  void NoteLeader(const std::string& leader);
  void NoteStates(const ProxyZoneView& newest);

  boost::asio::io_context& io_;
  const std::vector<std::string> zones_;
  std::map<std::string, PolledProxy> proxies_;  // by name
  OnChange on_change_;
  boost::asio::steady_timer timer_;
  bool is_running_ = false;
  std::uint64_t epoch_ = 0;
  std::string leader_;
  std::vector<std::string> states_;  // by zone
  double max_quota_ratio_ = 0;
  std::size_t complete_checks_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_FAILOVER_MONITOR_H_
