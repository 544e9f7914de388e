// SPDX-License-Identifier: Apache-2.0
//
// Reports the proxy's traffic to zone failover: requests, attempts by zone, and the number of backends in
// each zone.
#ifndef BADGERBRIDGE_PROXY_MAIN_ZONE_TRAFFIC_RECORDER_H_
#define BADGERBRIDGE_PROXY_MAIN_ZONE_TRAFFIC_RECORDER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "proxy/config.h"
#include "proxy/proxy.h"
#include "zone_failover/member.h"

namespace badgerbridge::proxy_main {

/// Reports the proxy's traffic to a zone failover member. Not thread-safe; performs no I/O.
class ZoneTrafficRecorder : public proxy::TrafficObserver {
 public:
  /// Reports to `member`, which must outlive the recorder.
  ZoneTrafficRecorder(const proxy::Config& config, zone_failover::Member& member);

  /// Updates the set of ready backends from a list or a delta.
  void OnEndpointList(balancer::TimePoint now, const proxy::EndpointList& list) override;
  /// Reports an accepted client request.
  void OnRequest(balancer::TimePoint now, const balancer::Submit& submit) override;
  /// Reports an attempt that was sent to a backend.
  void OnAttemptSent(balancer::TimePoint now, const request_table::Send& send,
                     const balancer::Submit& submit) override;
  /// Reports the end of an attempt; `load_header` is the response's X-Backend-Load header, or empty.
  void OnAttemptEnded(balancer::TimePoint now, const request_table::Send& send, balancer::Outcome outcome,
                      std::string_view load_header) override;

  /// The sum of the ready backends' weights by zone, each scaled by the backend's slow start progress.
  std::vector<double> WarmBackends(balancer::TimePoint now) const;

 private:
  struct ReadyBackend {
    int zone = 0;  // out of range if the zone is not in the configuration
    double weight = 1;
    balancer::TimePoint up_since{};  // TimePoint{}: unknown; treated as past slow start
  };
  struct AttemptKey {
    balancer::RequestId request = 0;
    int attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
  };
  struct AttemptInFlight {
    std::uint64_t number = 0;  // identifies the attempt to the member
    std::size_t request_class = 0;
    double work_ms = 0;
  };

  double EstimateWorkMs(const balancer::Submit& submit) const;
  double SlowStartProgress(balancer::TimePoint now, const ReadyBackend& backend) const;

  zone_failover::Member& member_;
  const std::size_t zone_count_;
  const double slow_start_floor_;
  const balancer::Duration slow_start_window_;
  std::unordered_map<balancer::BackendId, ReadyBackend> ready_backends_;
  std::map<AttemptKey, AttemptInFlight> attempts_in_flight_;
  std::uint64_t last_attempt_number_ = 0;
  double mean_work_ms_ = 0;  // mean of requests with a hint; 0: none yet
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_TRAFFIC_RECORDER_H_
