// SPDX-License-Identifier: Apache-2.0

/// @file
/// All backends of the installation, and what arrives at and leaves them.
#ifndef BADGERBRIDGE_SIMULATOR_BACKEND_POOL_H_
#define BADGERBRIDGE_SIMULATOR_BACKEND_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "simulator/backend.h"
#include "simulator/endpoint_discovery.h"
#include "simulator/simulation_state.h"

namespace badgerbridge::simulator {

/// The backends, numbered from 0.
class BackendPool final : private Backend::Observer {
 public:
  /// Called when the end of an attempt reaches its proxy.
  using AttemptEndCallback = std::function<void(TimePoint, AttemptId, balancer::Outcome)>;

  /// Starts all backends, warm. State and discovery must outlive it.
  BackendPool(SimulationState& state, EndpointDiscovery& discovery, AttemptEndCallback on_attempt_end);

  /// The request of an attempt arrives at its backend.
  void Receive(TimePoint now, AttemptId id);

  /// Lists a backend as draining, if it is listed as ready.
  void Drain(TimePoint now, std::size_t index);
  /// Ends a backend's process; its jobs are reset.
  void Stop(TimePoint now, std::size_t index) { backends_[index]->Stop(now); }
  /// Lists a backend as gone, if it is not.
  void ListAsGone(TimePoint now, std::size_t index);
  /// Starts a stopped backend as a new process in slow start, and lists it as ready.
  void Start(TimePoint now, std::size_t index);
  /// Jobs that begin from here on take `factor` times as long.
  void SetSlowdown(std::size_t index, double factor) { backends_[index]->SetSlowdown(factor); }
  /// This share of responses are errors.
  void SetErrorShare(std::size_t index, double share) { backends_[index]->SetErrorShare(share); }
  /// No job ends before `until`.
  void PauseUntil(std::size_t index, TimePoint until) { backends_[index]->PauseUntil(until); }

  /// How many backends there are.
  std::size_t size() const { return backends_.size(); }
  /// When a backend's process has started.
  TimePoint up_since(std::size_t index) const { return backends_[index]->up_since(); }
  /// The share of a backend's slots that are in use now.
  double SlotUtilization(std::size_t index) const;
  /// The share of all slots' time that was in use, by backend, over a run of `duration_ms`.
  std::vector<double> Utilization(double duration_ms) const;
  /// Warm fractions of the backends listed as ready, summed by zone.
  std::vector<double> WarmBackendsByZone(TimePoint now) const;

 private:
  void OnJobStarted(TimePoint now, std::size_t index, JobId id) override;
  void OnJobFinished(TimePoint now, std::size_t index, JobId id, bool succeeded) override;
  void OnJobDropped(TimePoint now, std::size_t index, JobId id) override;

  void LeaveBackend(TimePoint now, AttemptId id, balancer::Outcome outcome);
  void SendOutcome(TimePoint now, AttemptId id, balancer::Outcome outcome);
  int DeduplicationScopeOf(const balancer::ClassSettings& rules, std::size_t index) const;
  void Publish(TimePoint now, std::size_t index, balancer::BackendState state);

  SimulationState& state_;
  EndpointDiscovery& discovery_;
  AttemptEndCallback on_attempt_end_;
  std::vector<std::unique_ptr<Backend>> backends_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_BACKEND_POOL_H_
