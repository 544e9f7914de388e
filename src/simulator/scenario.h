// SPDX-License-Identifier: Apache-2.0
//
// Scenario files: an installation, a load and what happens, as TOML. docs/operators/simulator.md lists every
// key. Checked whole before anything runs: each problem is a line with its place.
#ifndef BADGERBRIDGE_SIMULATOR_SCENARIO_H_
#define BADGERBRIDGE_SIMULATOR_SCENARIO_H_

#include <string>
#include <string_view>

#include "operator_config/problem.h"
#include "simulator/model.h"

namespace badgerbridge::simulator {

constexpr std::size_t kMostScenarioBytes = 1 << 20;
// Beyond any of these a run would not end in a useful time.
constexpr int kMostProxies = 1000, kMostBackends = 20000, kMostZones = 64, kMostHappenings = 10000;
constexpr double kMostPerSecond = 1e6;

// The model is of use only if no problem was added.
Model ParseScenario(std::string_view text, const std::string& file, operator_config::Problems& problems);
Model LoadScenario(const std::string& path, operator_config::Problems& problems);

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_SCENARIO_H_
