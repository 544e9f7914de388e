// SPDX-License-Identifier: Apache-2.0
//
// Tells zone failover what the proxy observes: requests, attempts by zone, and how many backends each zone
// has.
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

/// Records the proxy's traffic at a member of zone failover. Not thread-safe; does no I/O.
class ZoneTrafficRecorder : public proxy::TrafficObserver {
 public:
  /// Records at `member`, which must outlive it.
  ZoneTrafficRecorder(const proxy::Config& config, zone_failover::Member& member);

  /// The backends that are ready are those of the list.
  void OnEndpointList(balancer::TimePoint now, const proxy::EndpointList& list) override;
  /// A client's request was accepted.
  void OnRequest(balancer::TimePoint now, const balancer::Submit& submit) override;
  /// An attempt of a request was sent to a backend.
  void OnAttemptSent(balancer::TimePoint now, const request_table::Send& send,
                     const balancer::Submit& submit) override;
  /// The attempt ended; `load_header` is the response's X-Backend-Load, or empty.
  void OnAttemptEnded(balancer::TimePoint now, const request_table::Send& send, balancer::Outcome outcome,
                      std::string_view load_header) override;

  /// By zone: the weights of the ready backends, each scaled by what slow start lets it take.
  std::vector<double> WarmBackends(balancer::TimePoint now) const;

 private:
  struct ReadyBackend {
    int zone = 0;  // beyond the last, or below 0: none of the configuration's
    double weight = 1;
    balancer::TimePoint up_since{};  // TimePoint{}: long ago
  };
  struct AttemptKey {
    balancer::RequestId request = 0;
    int attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
  };
  struct AttemptInFlight {
    std::uint64_t number = 0;  // by which the member knows it
    std::size_t request_class = 0;
    double work_ms = 0;
  };

  double WorkMsOf(const balancer::Submit& submit) const;
  double SlowStartProgress(balancer::TimePoint now, const ReadyBackend& backend) const;

  zone_failover::Member& member_;
  const std::size_t zone_count_;
  const double slow_start_floor_;
  const balancer::Duration slow_start_window_;
  std::unordered_map<balancer::BackendId, ReadyBackend> ready_backends_;
  std::map<AttemptKey, AttemptInFlight> attempts_in_flight_;
  std::uint64_t last_attempt_number_ = 0;
  double mean_work_ms_ = 0;  // of the requests that have a hint; 0: there was none yet
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_TRAFFIC_RECORDER_H_
