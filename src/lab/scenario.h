// SPDX-License-Identifier: Apache-2.0
//
// Scenario files: an installation, a load and what happens, as TOML. docs/operators/lab.md lists every key.
// Checked whole before anything runs: each problem is a line with its place.
#ifndef BADGERBRIDGE_LAB_SCENARIO_H_
#define BADGERBRIDGE_LAB_SCENARIO_H_

#include <string>
#include <string_view>

#include "lab/model.h"
#include "operator/problem.h"

namespace badgerbridge::lab {

constexpr std::size_t kMostScenarioBytes = 1 << 20;
// Beyond any of these a run would not end in a useful time.
constexpr int kMostProxies = 1000, kMostConverters = 20000, kMostZones = 64, kMostHappenings = 10000;
constexpr double kMostPerSecond = 1e6;

// The model is of use only if no problem was added.
Model ParseScenario(std::string_view text, const std::string& file, operator_file::Problems& problems);
Model LoadScenario(const std::string& path, operator_file::Problems& problems);

}  // namespace badgerbridge::lab

#endif  // BADGERBRIDGE_LAB_SCENARIO_H_
