// SPDX-License-Identifier: Apache-2.0

/// @file
/// The whole installation in virtual time, from one seed on one queue. docs/simulator.md describes what is
/// modelled and what is left out.
#ifndef BADGERBRIDGE_SIMULATOR_SIMULATION_H_
#define BADGERBRIDGE_SIMULATOR_SIMULATION_H_

#include <cstdint>

#include "simulator/backend_pool.h"
#include "simulator/client_population.h"
#include "simulator/core.h"
#include "simulator/endpoint_discovery.h"
#include "simulator/fault_injector.h"
#include "simulator/model.h"
#include "simulator/proxy_fleet.h"
#include "simulator/result.h"
#include "simulator/simulation_state.h"

namespace badgerbridge::simulator {

/// One run: clients, a front, proxies with the product's own core, a network, backends and discovery. The
/// same model and seeds give the same run on every machine. One thread.
class Simulation final {
 public:
  /// `tie_seed`: another order of events of one moment, as EventQueue has it.
  Simulation(const Model& model, std::uint64_t seed, CoreFactory factory = MakeRequestTableCore,
             std::uint64_t tie_seed = 0);
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  /// Plays the load to its end, and what is open then; stops at the first violation of a rule, or after
  /// `max_steps` events.
  SimulationResult Run(std::uint64_t max_steps = UINT64_MAX);
  /// The members of zone failover; null where it is off.
  const FailoverMembers* failover_members() const { return proxies_.failover_members(); }

 private:
  bool IsOver() const;
  void CheckCounters();

  // In this order: each part refers to those before it, and schedules its first events.
  SimulationState state_;
  EndpointDiscovery discovery_;
  BackendPool backends_;
  ProxyFleet proxies_;
  ClientPopulation clients_;
  FaultInjector faults_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_SIMULATION_H_
