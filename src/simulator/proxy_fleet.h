// SPDX-License-Identifier: Apache-2.0

/// @file
/// The proxies of the installation: each with a core, connections, and what it knows of the backends.
#ifndef BADGERBRIDGE_SIMULATOR_PROXY_FLEET_H_
#define BADGERBRIDGE_SIMULATOR_PROXY_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "simulator/backend_pool.h"
#include "simulator/core.h"
#include "simulator/endpoint_discovery.h"
#include "simulator/failover_members.h"
#include "simulator/front.h"
#include "simulator/simulation_state.h"

namespace badgerbridge::simulator {

/// A proxy's final response, as the client receives it.
struct Response {
  request_table::RequestOutcome outcome{};  ///< What became of the request.
  double retry_after_ms = 0;                ///< Retry-After, in whole microseconds; 0: there is none.
};

/// The proxies, numbered from 0.
class ProxyFleet final {
 public:
  /// Called when a response reaches the client.
  using ResponseCallback = std::function<void(TimePoint, SubmissionId, Response)>;

  /// Starts all proxies. What it refers to must outlive it.
  ProxyFleet(SimulationState& state, EndpointDiscovery& discovery, BackendPool& backends, CoreFactory factory,
             ResponseCallback on_response);

  /// A submission arrives at its proxy.
  void Receive(TimePoint now, SubmissionId id);
  /// The client of a submission has disconnected.
  void Disconnect(TimePoint now, const Submission& submission);
  /// The end of an attempt reaches its proxy.
  void EndAttempt(TimePoint now, AttemptId id, balancer::Outcome outcome);
  /// A change of the endpoint list reaches a proxy.
  void UpdateEndpoint(TimePoint now, std::size_t index, const balancer::BackendEntry& entry);

  /// Ends a proxy's process, if it runs; its connections are reset.
  void Kill(TimePoint now, std::size_t index);
  /// Starts a proxy's process with the current endpoint list, unless it runs.
  void Start(TimePoint now, std::size_t index);
  /// A backend's process has ended: no proxy has idle connections to it.
  void DropIdleConnections(std::size_t backend);

  /// How many proxies there are, dead ones too.
  std::size_t size() const { return proxies_.size(); }
  /// Whether a proxy's process runs.
  bool is_alive(std::size_t index) const { return proxies_[index].is_alive(); }
  /// Counts the starts and deaths of a proxy's process.
  std::uint32_t incarnation(std::size_t index) const { return proxies_[index].incarnation; }
  /// The proxies that the fronts know.
  const Front& front() const { return front_; }
  /// The members of zone failover; null where it is off.
  FailoverMembers* failover_members() const { return members_.get(); }
  /// Whether a proxy's counters add up.
  bool HasConsistentCounters(std::size_t index) const;

 private:
  struct Proxy {
    bool is_alive() const { return incarnation % 2 == 1; }

    int zone = 0;
    std::uint32_t incarnation = 0;
    std::unique_ptr<Core> core;
    Core::Actions actions;  // of the core, to be carried out
    bool carries_out_actions = false;
    std::optional<TimePoint> wake_at;
    std::unordered_map<balancer::RequestId, SubmissionId> submissions;
    std::unordered_map<balancer::RequestId, AttemptId> last_attempts;   // that are pending
    std::unordered_map<balancer::BackendId, TimePoint> draining_since;  // when it was notified
    std::vector<TimePoint> known_starts;                                // by backend: its latest known start
    std::vector<std::uint16_t> idle_connections;                        // by backend
  };

  void StartMembers();
  void CarryOutActions(TimePoint now, std::size_t index);
  void CarryOut(TimePoint now, std::size_t index, const request_table::Send& send);
  void CarryOut(TimePoint now, std::size_t index, const request_table::Cancel& cancel);
  void CarryOut(TimePoint now, std::size_t index, const request_table::Withdraw& withdraw);
  void CarryOut(TimePoint now, std::size_t index, const request_table::Respond& respond);
  void CarryOut(TimePoint, std::size_t, const balancer::Subscribe&) {}  // the list comes by itself
  void CarryOut(TimePoint, std::size_t, const balancer::Log&) {}
  void ScheduleWake(std::size_t index);
  void Wake(TimePoint now, std::size_t index, std::uint32_t incarnation);
  void ScheduleEnd(TimePoint at, AttemptId id, balancer::Outcome outcome);
  Attempt MakeAttempt(std::size_t index, SubmissionId submission, const request_table::Send& send);
  void CountAttempt(int request_class, int proxy_zone, int backend_zone);
  void Transmit(TimePoint now, AttemptId id, int zone);
  void ReportEnd(TimePoint now, AttemptId id, const Attempt& attempt, balancer::Outcome outcome);
  void LoadEndpoints(TimePoint now, std::size_t index);
  void UpdateFront(std::size_t index);

  SimulationState& state_;
  EndpointDiscovery& discovery_;
  BackendPool& backends_;
  const CoreFactory factory_;
  ResponseCallback on_response_;
  std::vector<Proxy> proxies_;
  Front front_;
  std::unique_ptr<FailoverMembers> members_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_PROXY_FLEET_H_
