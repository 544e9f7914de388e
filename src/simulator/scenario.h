// SPDX-License-Identifier: Apache-2.0

/// @file
/// Scenario files: an installation, a load and its events, as TOML. docs/operators/simulator.md lists every
/// key.
#ifndef BADGERBRIDGE_SIMULATOR_SCENARIO_H_
#define BADGERBRIDGE_SIMULATOR_SCENARIO_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "operator_config/problem.h"
#include "simulator/model.h"

namespace badgerbridge::simulator {

/// The largest scenario file.
constexpr std::size_t kMaxScenarioBytes = 1 << 20;
/// Beyond any of these a run would not end in a useful time.
constexpr int kMaxProxies = 1000;
constexpr int kMaxBackends = 20000;            ///< Of an installation.
constexpr int kMaxZones = 64;                  ///< Of an installation.
constexpr int kMaxEvents = 10000;              ///< Of a timetable.
constexpr double kMaxRequestsPerSecond = 1e6;  ///< Of all clients.

/// What is wrong with a scenario file.
struct ScenarioError {
  operator_config::Problems problems;  ///< At least one, each with its place and the wrong value.
};

/// A line for each problem, in the order of the file.
std::string Message(const ScenarioError& error);

/// Either a value or all that is wrong with the file.
template <typename T>
using ScenarioResult = boost::system::result<T, ScenarioError>;

/// Called by `ScenarioResult::value()` where there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const ScenarioError& error,
                                             const boost::source_location& location);

/// Reads the text of a file, checked as a whole; `file` is its name in problems.
ScenarioResult<Model> ParseScenario(std::string_view text, const std::string& file);
/// Reads a file.
ScenarioResult<Model> LoadScenario(const std::string& path);

/// The name of a mode in scenario files, on command lines and in output.
std::string_view ModeName(ZoneFailoverModel::Mode mode);
/// The mode with this name; none if there is none.
std::optional<ZoneFailoverModel::Mode> ParseMode(std::string_view name);

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_SCENARIO_H_
