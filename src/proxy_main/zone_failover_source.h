// SPDX-License-Identifier: Apache-2.0
//
// Connects the proxy to zone failover: reports the proxy's traffic to a zone_failover::Member, sends the
// Member's calls to etcd, and passes the computed quotas to the proxy. Used only if the operator's file has a
// [regions] table. docs/zone_failover.md explains the protocol.
#ifndef BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SOURCE_H_
#define BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SOURCE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "etcd/client.h"
#include "net/one_shot_timer.h"
#include "operator_config/operator_file.h"
#include "proxy/clock.h"
#include "proxy/config.h"
#include "proxy/proxy.h"
#include "proxy_main/zone_status_codec.h"
#include "proxy_main/zone_traffic_recorder.h"
#include "zone_failover/member.h"

namespace badgerbridge::proxy_main {

/// The source of one proxy's zone quotas. Runs on its io_context's thread.
class ZoneFailoverSource {
 public:
  /// Called with the new quotas after each change.
  using OnQuotas = std::function<void(balancer::ZoneQuotas)>;

  /// Starts immediately; `on_quotas` does not run before the constructor returns. Throws std::runtime_error
  /// with a one-line message if the zones differ from the configuration's or a password cannot be read.
  ZoneFailoverSource(boost::asio::io_context& io, const proxy::ProxyClock& clock, const proxy::Config& config,
                     const operator_config::ZoneFailoverSettings& settings, OnQuotas on_quotas);
  ~ZoneFailoverSource();  ///< The result of a call in flight is discarded.
  ZoneFailoverSource(const ZoneFailoverSource&) = delete;
  ZoneFailoverSource& operator=(const ZoneFailoverSource&) = delete;

  /// The observer to register with the proxy. Valid as long as this object.
  proxy::TrafficObserver& traffic_observer() { return traffic_; }

  /// This proxy's role and the decision that it applies, as JSON for the admin API.
  boost::json::value DescribeStatus() const;

 private:
  void Advance();
  void StartNextCall(balancer::TimePoint now);
  void PublishQuotas(balancer::TimePoint now);
  void ArmTimer(balancer::TimePoint now);
  boost::asio::awaitable<void> CallEtcd(zone_failover::Member::Call call);

  boost::asio::io_context& io_;
  const proxy::ProxyClock& clock_;
  const std::string prefix_;  // prepended to each key
  const std::string name_;    // identifies the member
  const ZoneNames zones_;
  const bool is_coordinated_;
  const std::chrono::milliseconds call_timeout_;
  OnQuotas on_quotas_;
  zone_failover::Member member_;
  ZoneTrafficRecorder traffic_;
  std::optional<etcd::Client> client_;  // empty unless is_coordinated_
  std::vector<double> published_quotas_;
  bool is_calling_ = false;
  net::OneShotTimer timer_;
  std::shared_ptr<bool> is_alive_ =
      std::make_shared<bool>(true);  // shared with calls in flight; false after destruction
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SOURCE_H_
