// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-simulator: plays a scenario in virtual time.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "http_api/version.h"
#include "simulator/experiment.h"
#include "simulator/report.h"
#include "simulator/scenario.h"
#include "simulator/simulation.h"

namespace {

using namespace badgerbridge;

enum ExitCode : int { kRulesHeld = 0, kRuleViolated = 1, kBadUsage = 2 };

// The command line.
struct Options {
  std::string path;
  std::string output = "table";
  std::uint64_t seed = 1;
  // run
  std::uint64_t tie_seed = 0;
  std::uint64_t max_steps = 1000000000;
  std::string mode;  // empty: as the scenario has it
  // compare
  std::vector<std::string> modes;
  std::vector<int> proxies;
  std::size_t seeds = 10;
  unsigned threads = std::max(1u, std::thread::hardware_concurrency());

  simulator::OutputFormat format() const {
    return output == "json" ? simulator::OutputFormat::kJson : simulator::OutputFormat::kTable;
  }
};

CLI::App* AddRunCommand(CLI::App& app, Options& options) {
  CLI::App* run = app.add_subcommand("run", "play a scenario once");
  run->add_option("scenario", options.path, "the scenario file")->required();
  run->add_option("--seed", options.seed, "of all that is drawn (1)");
  run->add_option("--ties", options.tie_seed, "another order of what happens at the same moment");
  run->add_option("--decide", options.mode,
                  "who decides how much goes to each zone, instead of what the scenario says")
      ->check(CLI::IsMember({"off", "alone", "cliff", "together"}));
  run->add_option("--most-steps", options.max_steps, "ends the run after so many events (1000000000)");
  run->add_option("-o,--output", options.output, "table or json")->check(CLI::IsMember({"table", "json"}));
  return run;
}

CLI::App* AddCompareCommand(CLI::App& app, Options& options) {
  CLI::App* compare =
      app.add_subcommand("compare", "play a scenario in several ways under the same seeds, on all cores");
  compare->add_option("scenario", options.path, "the scenario file")->required();
  compare
      ->add_option("--decide", options.modes, "ways of deciding how much goes to each zone, as off,together")
      ->delimiter(',')
      ->check(CLI::IsMember({"off", "alone", "cliff", "together"}));
  compare->add_option("--proxies", options.proxies, "numbers of proxies, as 1,4,40")
      ->delimiter(',')
      ->check(CLI::Range(1, 10000));
  compare->add_option("--seeds", options.seeds, "how many (10)")->check(CLI::Range(1, 1000));
  compare->add_option("--seed", options.seed, "the first of them (1)");
  compare->add_option("--threads", options.threads, "how many runs at once (all cores)")
      ->check(CLI::Range(1, 256));
  compare->add_option("-o,--output", options.output, "table or json")
      ->check(CLI::IsMember({"table", "json"}));
  return compare;
}

CLI::App* AddCheckCommand(CLI::App& app, Options& options) {
  CLI::App* check = app.add_subcommand("check", "check a scenario, and play nothing");
  check->add_option("scenario", options.path, "the scenario file")->required();
  return check;
}

// The option's check admits known names alone.
simulator::ZoneFailoverModel::Mode ModeOf(const std::string& name) {
  return simulator::ParseMode(name).value_or(simulator::ZoneFailoverModel::Mode::kCoordinated);
}

std::vector<simulator::Configuration> ConfigurationsOf(const simulator::Model& model,
                                                       const Options& options) {
  std::vector<simulator::Configuration> configurations;
  const std::vector<int> as_in_scenario = {0};
  for (const int proxies : options.proxies.empty() ? as_in_scenario : options.proxies) {
    if (options.modes.empty()) configurations.push_back({model.failover.mode, proxies});
    for (const std::string& mode : options.modes) configurations.push_back({ModeOf(mode), proxies});
  }
  return configurations;
}

int Compare(const simulator::Model& model, const Options& options) {
  const simulator::SeedRange seeds{options.seed, options.seeds};
  const auto results = simulator::Compare(model, ConfigurationsOf(model, options), seeds, options.threads);
  simulator::PrintComparison(model, results, seeds, options.format());
  for (const simulator::ConfigurationResult& result : results) {
    for (const simulator::RunSummary& run : result.runs) {
      if (!run.violation.empty()) return kRuleViolated;
    }
  }
  return kRulesHeld;
}

int Run(simulator::Model model, const Options& options) {
  if (!options.mode.empty()) model.failover.mode = ModeOf(options.mode);
  simulator::Simulation simulation(model, options.seed, simulator::MakeRequestTableCore, options.tie_seed);
  const simulator::SimulationResult result = simulation.Run(options.max_steps);
  simulator::PrintRun(model, options.seed, simulation, result, options.format());
  return result.violation ? kRuleViolated : kRulesHeld;
}

}  // namespace

int main(int count, char** arguments) {
  CLI::App app(
      "badgerbridge-simulator: plays an installation in virtual time, with the proxies' own core in it");
  app.footer(
      "Exit codes: 0 the rules held; 1 one was broken; 2 usage, or a scenario that is not to be used.");
  app.set_version_flag("--version", http_api::VersionText("badgerbridge-simulator", {}));
  app.set_help_all_flag("--help-all", "the same with each command's own options");
  app.require_subcommand(1);
  Options options;
  AddRunCommand(app, options);
  const CLI::App* compare = AddCompareCommand(app, options);
  const CLI::App* check = AddCheckCommand(app, options);
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kRulesHeld : kBadUsage;
  }
  const auto model = simulator::LoadScenario(options.path);
  if (!model) {
    std::cerr << operator_config::FormatProblems(model.error().problems);
    return kBadUsage;
  }
  if (check->parsed()) return kRulesHeld;
  return compare->parsed() ? Compare(*model, options) : Run(*model, options);
}
