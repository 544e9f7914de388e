// SPDX-License-Identifier: Apache-2.0
//
// Installations for tests of the simulator.
#ifndef BADGERBRIDGE_TESTS_SIMULATOR_SMALL_MODEL_H_
#define BADGERBRIDGE_TESTS_SIMULATOR_SMALL_MODEL_H_

#include "simulator/model.h"
#include "simulator/result.h"

namespace badgerbridge::simulator {

/// A class with lognormal work and deduplication by cell.
ClassModel MakeClass(const char* name, balancer::Idempotency effect, double priority_weight, double share);

/// Three classes (preview, convert, certify), 4 proxies and 8 backends in 2 zones, at half of what they can
/// do.
Model SmallModel();

/// Expects that each request is counted in exactly one way.
void ExpectConsistentCounts(const SimulationResult& result);

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_TESTS_SIMULATOR_SMALL_MODEL_H_
