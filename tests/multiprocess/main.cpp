// SPDX-License-Identifier: Apache-2.0
//
// multiprocess_test: plays a scenario of the simulator with real processes on loopback, and judges it by what
// backends and clients recorded.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "multiprocess/clock.h"
#include "multiprocess/report.h"
#include "multiprocess/roles.h"
#include "multiprocess/run.h"
#include "simulator/scenario.h"

namespace {

using namespace badgerbridge;

// Exit codes.
constexpr int kPassed = 0;
constexpr int kFailed = 1;
constexpr int kUsageError = 2;

// Of the command line.
struct Options {
  std::vector<std::string> plans;
  std::uint64_t seed = 1;
  bool is_verbose = false;
  std::string role;
};

multiprocess::RunPrograms FindPrograms() {
  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  const std::filesystem::path directory = self.parent_path();
  return {self, directory / "badgerbridge", directory / "badgerbridge-relay"};
}

int PlayPlan(const simulator::Model& model, const Options& options) {
  const double began_ms = multiprocess::NowMs();
  boost::asio::io_context io(1);
  multiprocess::RunOutcome outcome;
  try {
    multiprocess::MultiprocessRun run(io, model, options.seed, FindPrograms());
    outcome = run.Play();
  } catch (const std::exception& error) {
    std::cout << multiprocess::FailureLine(model, options.seed, error.what()) << std::endl;
    return kFailed;
  }
  const bool has_passed = multiprocess::HasPassed(model, outcome);
  if (!has_passed || options.is_verbose) std::cout << multiprocess::DetailsOf(outcome);
  const double elapsed_ms = multiprocess::NowMs() - began_ms;
  std::cout << multiprocess::SummaryLine(model, options.seed, outcome, elapsed_ms) << std::endl;
  return has_passed ? kPassed : kFailed;
}

int PlayPlans(const Options& options) {
  int code = kPassed;
  for (const std::string& path : options.plans) {
    const auto model = simulator::LoadScenario(path);
    if (!model) {
      std::cerr << simulator::Message(model.error());
      return kUsageError;
    }
    code = std::max(code, PlayPlan(*model, options));
  }
  return code;
}

int PlayRole(const std::string& name) {
  const int code = multiprocess::RunRole(name);
  if (code >= 0) return code;
  std::cerr << "multiprocess_test: there is no role " << name << '\n';
  return kUsageError;
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Options options;
  CLI::App app("multiprocess_test: plays scenarios with real processes on loopback");
  app.footer(
      "Exit codes: 0 all plans passed; 1 a plan failed, or did not run; 2 usage, or a file that can't be "
      "used.");
  app.require_subcommand(1);
  auto* run = app.add_subcommand("run", "play plans, one after another");
  run->add_option("plans", options.plans, "scenario files with a [together] table")->required();
  run->add_option("--seed", options.seed, "of all that is drawn (1)");
  run->add_flag("--verbose", options.is_verbose, "print the details also when a plan passes");
  auto* role = app.add_subcommand("role", "a process of a run; started by `run`");
  role->add_option("name", options.role)->required();
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kPassed : kUsageError;
  }
  return role->parsed() ? PlayRole(options.role) : PlayPlans(options);
}
