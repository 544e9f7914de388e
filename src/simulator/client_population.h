// SPDX-License-Identifier: Apache-2.0

/// @file
/// The clients of the installation: what they request, how long they wait and when they retry.
#ifndef BADGERBRIDGE_SIMULATOR_CLIENT_POPULATION_H_
#define BADGERBRIDGE_SIMULATOR_CLIENT_POPULATION_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "simulator/proxy_fleet.h"
#include "simulator/random.h"
#include "simulator/simulation_state.h"

namespace badgerbridge::simulator {

/// Clients as an open system: requests arrive as a Poisson process, whatever becomes of earlier ones.
class ClientPopulation final {
 public:
  /// Schedules the first arrival. State and proxies must outlive it.
  ClientPopulation(SimulationState& state, ProxyFleet& proxies);

  /// Arrivals come at the factor `factor` of the model's rate, from the next one on.
  void SetLoad(double factor) { load_ = factor; }
  /// A response reaches the client.
  void Receive(TimePoint now, SubmissionId id, Response response);

 private:
  void ScheduleArrival(TimePoint at);
  void Arrive(TimePoint now);
  int DrawClass();
  std::optional<std::size_t> Connect(int zone);
  void Submit(TimePoint now, ClientRequestId id);
  void CountServed(TimePoint now, const Submission& submission);
  void RetryOrGiveUp(TimePoint now, ClientRequestId id, Response response);
  void ReachDeadline(SubmissionId id);
  void Disconnect(TimePoint now, SubmissionId id);

  SimulationState& state_;
  ProxyFleet& proxies_;
  Random arrival_random_;
  Random work_random_;
  Random client_random_;
  std::vector<double> cumulative_shares_;  // of classes
  double load_ = 1;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_CLIENT_POPULATION_H_
