// SPDX-License-Identifier: Apache-2.0
//
// Has the proxy take part in zone failover: what the proxy observes goes into a zone_failover::Member, the
// Member's calls go to etcd, and the quotas that it computes go to the proxy. Only where the operator's file
// has a [regions] table. docs/zone_failover.md explains the protocol.
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

/// One proxy's zone failover. Runs on its io_context's thread.
class ZoneFailoverSource {
 public:
  /// Called with the new quotas whenever they have changed.
  using OnQuotas = std::function<void(balancer::ZoneQuotas)>;

  /// Starts at once; `on_quotas` is not called from within the constructor. Throws std::runtime_error, one
  /// line, if the zones are not those of the configuration, or a password cannot be read.
  ZoneFailoverSource(boost::asio::io_context& io, const proxy::ProxyClock& clock, const proxy::Config& config,
                     const operator_config::ZoneFailoverSettings& settings, OnQuotas on_quotas);
  ~ZoneFailoverSource();  ///< A call that is in flight no longer has an effect.
  ZoneFailoverSource(const ZoneFailoverSource&) = delete;
  ZoneFailoverSource& operator=(const ZoneFailoverSource&) = delete;

  /// What must observe the proxy's traffic.
  proxy::TrafficObserver& traffic_observer() { return traffic_; }

  /// This proxy's part and the decision that it acts on, for the admin API.
  boost::json::value DescribeStatus() const;

 private:
  void Advance();
  void StartNextCall(balancer::TimePoint now);
  void PublishQuotas(balancer::TimePoint now);
  void ArmTimer(balancer::TimePoint now);
  boost::asio::awaitable<void> CallEtcd(zone_failover::Member::Call call);

  boost::asio::io_context& io_;
  const proxy::ProxyClock& clock_;
  const std::string prefix_;  // of the keys
  const std::string name_;    // of the member
  const ZoneNames zones_;
  const bool is_coordinated_;
  const std::chrono::milliseconds call_timeout_;
  OnQuotas on_quotas_;
  zone_failover::Member member_;
  ZoneTrafficRecorder traffic_;
  std::optional<etcd::Client> client_;  // only if it is coordinated
  std::vector<double> published_quotas_;
  bool is_calling_ = false;
  net::OneShotTimer timer_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);  // shared with calls in flight
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SOURCE_H_
