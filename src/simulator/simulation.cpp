// SPDX-License-Identifier: Apache-2.0
#include "simulator/simulation.h"

#include <utility>

namespace badgerbridge::simulator {

Simulation::Simulation(const Model& model, std::uint64_t seed, CoreFactory factory, std::uint64_t tie_seed)
    : state_(model, seed, tie_seed),
      discovery_(state_.queue, state_.model, seed,
                 [this](TimePoint now, std::size_t proxy, const balancer::BackendEntry& entry) {
                   proxies_.UpdateEndpoint(now, proxy, entry);
                 }),
      backends_(state_, discovery_,
                [this](TimePoint now, AttemptId attempt, balancer::Outcome outcome) {
                  proxies_.EndAttempt(now, attempt, outcome);
                }),
      proxies_(state_, discovery_, backends_, std::move(factory),
               [this](TimePoint now, SubmissionId submission, Response response) {
                 clients_.Receive(now, submission, response);
               }),
      clients_(state_, proxies_),
      faults_(state_, discovery_, backends_, proxies_, clients_) {}

SimulationResult Simulation::Run(std::uint64_t max_steps) {
  const TimePoint never(Duration(1e300));
  while (state_.queue.steps() < max_steps && !state_.checker.violation()) {
    if (IsOver() || !state_.queue.RunNext(never)) break;
  }
  if (!state_.checker.violation()) CheckCounters();
  SimulationResult& result = state_.result;
  result.steps = state_.queue.steps();
  result.duration_ms = (state_.queue.now() - TimeAt(0)).count();
  result.violation = state_.checker.violation();
  result.slow_start = state_.checker.MaxSlowStartUsage();
  result.utilization = backends_.Utilization(result.duration_ms);
  return result;
}

// After the load's end, open requests are played to their end.
bool Simulation::IsOver() const {
  return state_.queue.now() > TimeAt(state_.model.duration_ms) && state_.requests.IsEmpty();
}

// Of each proxy that is alive: all that it accepted has ended in one way or is open.
void Simulation::CheckCounters() {
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    if (proxies_.is_alive(i)) state_.checker.OnFinalCounters(proxies_.HasConsistentCounters(i), i);
  }
}

}  // namespace badgerbridge::simulator
