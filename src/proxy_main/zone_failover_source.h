// SPDX-License-Identifier: Apache-2.0
//
// Has the proxy take part in the common decision on how much goes to each zone: what the proxy sees goes into
// a zone_failover::Member, the Member's calls go to etcd, and the shares that it gives go to the proxy. Only
// where the operator's file has a [regions] table.
#ifndef BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SOURCE_H_
#define BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SOURCE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "etcd/client.h"
#include "net/one_shot_timer.h"
#include "operator_config/operator_file.h"
#include "proxy/clock.h"
#include "proxy/config.h"
#include "proxy/proxy.h"
#include "zone_failover/member.h"

namespace badgerbridge::proxy_main {

class ZoneFailoverSource : public proxy::TrafficObserver {
 public:
  using OnShares = std::function<void(std::vector<double>)>;

  // Throws std::runtime_error, one line, where the zones are not those of the configuration, or a password
  // can't be read. `on_shares` is called when the shares are others than before, never from within this one.
  ZoneFailoverSource(boost::asio::io_context& io, const proxy::ProxyClock& clock, const proxy::Config& config,
                     const operator_config::ZoneFailoverSettings& settings, OnShares on_shares);
  ~ZoneFailoverSource() override;
  ZoneFailoverSource(const ZoneFailoverSource&) = delete;
  ZoneFailoverSource& operator=(const ZoneFailoverSource&) = delete;

  void OnEndpointList(balancer::TimePoint now, const proxy::EndpointList& list) override;
  void OnRequest(balancer::TimePoint now, const balancer::Submit& submit) override;
  void OnAttemptSent(balancer::TimePoint now, const request_table::Send& send,
                     const balancer::Submit& submit) override;
  void OnAttemptEnded(balancer::TimePoint now, const request_table::Send& send, balancer::Outcome outcome,
                      std::string_view load) override;

  // For people: this proxy's part, and the decision as it has read it.
  boost::json::value Describe();

 private:
  struct Server {
    int zone = 0;
    double weight = 1;
    balancer::TimePoint up_since{};
  };
  struct Out {
    std::uint64_t number = 0;
    std::size_t request_class = 0;
    double work = 0;
  };

  void Step();
  boost::asio::awaitable<void> Carry(zone_failover::Member::Call call);
  double WorkOf(const balancer::Submit& submit) const;
  std::vector<double> Warm(balancer::TimePoint now) const;

  boost::asio::io_context& io_;
  const proxy::ProxyClock& clock_;
  const std::string prefix_, name_;
  const std::vector<std::string> zones_;
  const int zone_;
  const bool together_;
  const std::chrono::milliseconds call_timeout_;
  const double slow_start_floor_;
  const balancer::Duration slow_start_window_;
  OnShares on_shares_;
  zone_failover::Member member_;
  std::optional<etcd::Client> client_;
  std::unordered_map<balancer::BackendId, Server> servers_;  // that are ready
  std::map<std::pair<balancer::RequestId, int>, Out> out_;   // attempts
  std::uint64_t attempts_ = 0;
  double mean_work_ = 0;  // of those that say it: what the others count as
  std::vector<double> told_;
  bool calling_ = false;
  net::OneShotTimer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SOURCE_H_
