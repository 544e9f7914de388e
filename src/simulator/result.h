// SPDX-License-Identifier: Apache-2.0

/// @file
/// What came of a run.
#ifndef BADGERBRIDGE_SIMULATOR_RESULT_H_
#define BADGERBRIDGE_SIMULATOR_RESULT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "simulator/histogram.h"
#include "simulator/rule_checker.h"

namespace badgerbridge::simulator {

/// Of a class's requests: each is in exactly one of served, rejected, failed, disconnected, unreachable and
/// interrupted once the run has ended. A request that is submitted again is one still.
struct ClassResult {
  std::uint64_t requested = 0;         ///< Requests.
  std::uint64_t served = 0;            ///< With a response.
  std::uint64_t within_objective = 0;  ///< Served, the last submission within the latency objective.
  std::uint64_t rejected = 0;          ///< By load shedding, without a further retry of the client.
  std::uint64_t failed = 0;            ///< Likewise, by a failure.
  std::uint64_t disconnected = 0;      ///< Their client has disconnected.
  std::uint64_t unreachable = 0;       ///< No proxy could be connected to.
  std::uint64_t interrupted = 0;       ///< Their proxy has died.
  std::uint64_t submissions = 0;       ///< To proxies, of all requests.
  std::uint64_t attempts = 0;          ///< Of proxies at backends.
  std::uint64_t cross_zone = 0;        ///< Attempts to another zone.
  std::uint64_t cross_region = 0;      ///< Attempts to another region.
  double requested_weight = 0;         ///< Priority weight of all requests.
  double served_weight = 0;            ///< Priority weight of those served; late ones by their late weight.
  Histogram latency;                   ///< Of those served, from the first submission on.
};

/// Of a run.
struct SimulationResult {
  std::vector<ClassResult> classes;    ///< By class.
  std::uint64_t steps = 0;             ///< Events.
  std::uint64_t attempts = 0;          ///< Of all classes.
  std::uint64_t dropped_repeats = 0;   ///< Attempts without an effect, dropped by deduplication.
  double duration_ms = 0;              ///< Virtual time to the last event.
  std::vector<double> utilization;     ///< By backend: time in use over all slots, a share.
  std::uint64_t digest = 0;            ///< Of every event that a client or backend has seen, in order.
  std::optional<Violation> violation;  ///< The first, if a rule was violated.
  SlowStartUsage slow_start;           ///< The largest of all backends.

  /// Priority weight served, a share of that requested.
  double ServedWeightShare() const;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_RESULT_H_
