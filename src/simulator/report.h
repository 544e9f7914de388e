// SPDX-License-Identifier: Apache-2.0

/// @file
/// The output of badgerbridge-simulator: tables for people, and JSON. The JSON's keys are read by scripts and
/// stay as they are; this file and scenario.cpp are where they meet the code's terms.
#ifndef BADGERBRIDGE_SIMULATOR_REPORT_H_
#define BADGERBRIDGE_SIMULATOR_REPORT_H_

#include <cstdint>
#include <vector>

#include "simulator/experiment.h"
#include "simulator/model.h"
#include "simulator/simulation.h"

namespace badgerbridge::simulator {

/// How to print.
enum class OutputFormat {
  kTable,  ///< For people.
  kJson,   ///< One object on one line.
};

/// Prints one run to standard output.
void PrintRun(const Model& model, std::uint64_t seed, const Simulation& simulation,
              const SimulationResult& result, OutputFormat format);

/// Prints an experiment to standard output.
void PrintComparison(const Model& model, const std::vector<ConfigurationResult>& results, SeedRange seeds,
                     OutputFormat format);

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_REPORT_H_
