// SPDX-License-Identifier: Apache-2.0

/// @file
/// Plays the events of a scenario's timetable.
#ifndef BADGERBRIDGE_SIMULATOR_FAULT_INJECTOR_H_
#define BADGERBRIDGE_SIMULATOR_FAULT_INJECTOR_H_

#include <cstddef>

#include "simulator/backend_pool.h"
#include "simulator/client_population.h"
#include "simulator/endpoint_discovery.h"
#include "simulator/proxy_fleet.h"
#include "simulator/simulation_state.h"

namespace badgerbridge::simulator {

/// Applies each event of the model at its time.
class FaultInjector final {
 public:
  /// Schedules all events. What it refers to must outlive it.
  FaultInjector(SimulationState& state, EndpointDiscovery& discovery, BackendPool& backends,
                ProxyFleet& proxies, ClientPopulation& clients);

 private:
  void Apply(TimePoint now, const ScenarioEvent& event);
  void ApplyToOrders(const ScenarioEvent& event);
  void ApplyToShare(TimePoint now, const ScenarioEvent& event);
  void ApplyToBackend(TimePoint now, const ScenarioEvent& event, std::size_t index);
  void StopBackend(TimePoint now, std::size_t index);

  SimulationState& state_;
  EndpointDiscovery& discovery_;
  BackendPool& backends_;
  ProxyFleet& proxies_;
  ClientPopulation& clients_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_FAULT_INJECTOR_H_
