// SPDX-License-Identifier: Apache-2.0

/// @file
/// What all parts of a simulation share.
#ifndef BADGERBRIDGE_SIMULATOR_SIMULATION_STATE_H_
#define BADGERBRIDGE_SIMULATOR_SIMULATION_STATE_H_

#include <cstdint>

#include "simulator/event_queue.h"
#include "simulator/model.h"
#include "simulator/network.h"
#include "simulator/request_tracker.h"
#include "simulator/result.h"
#include "simulator/rule_checker.h"

namespace badgerbridge::simulator {

/// When virtual time begins, in ms: to the decision module, 0 is long ago.
constexpr double kStartMs = 1e6;

/// The virtual time so long after the start of the run.
inline TimePoint TimeAt(double since_start_ms) { return TimePoint(Duration(kStartMs + since_start_ms)); }

/// The shared parts of one run. One thread.
struct SimulationState {
  /// `tie_seed`: as EventQueue has it.
  SimulationState(const Model& simulated, std::uint64_t run_seed, std::uint64_t tie_seed)
      : model(simulated),
        seed(run_seed),
        queue(tie_seed),
        network(model, seed),
        checker(queue, model.drain_grace, static_cast<std::size_t>(model.backends), model.backend,
                model.MeanWork()) {
    result.classes.resize(model.classes.size());
  }

  /// A class of the model.
  const ClassModel& class_model(int request_class) const {
    return model.classes[static_cast<std::size_t>(request_class)];
  }
  /// The result of a class.
  ClassResult& class_result(int request_class) {
    return result.classes[static_cast<std::size_t>(request_class)];
  }
  /// Adds a number to the run's digest (FNV-1a over words).
  void AddToDigest(std::uint64_t number) { result.digest = (result.digest ^ number) * 0x100000001b3ull; }
  /// Adds a time to the run's digest.
  void AddToDigest(TimePoint time);

  const Model model;         ///< The installation.
  const std::uint64_t seed;  ///< Of all that is drawn.
  EventQueue queue;          ///< Of all events.
  Network network;           ///< All links.
  RequestTracker requests;   ///< All that are open.
  RuleChecker checker;       ///< Of the run.
  SimulationResult result;   ///< So far.
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_SIMULATION_STATE_H_
