// SPDX-License-Identifier: Apache-2.0
//
// multiprocess_test: plays a scenario of the lab with real processes on loopback, and judges it by what
// backends and clients wrote down.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "multiprocess/roles.h"
#include "multiprocess/trial.h"
#include "simulator/scenario.h"

namespace {

using namespace badgerbridge;

constexpr int kHeld = 0, kBroke = 1, kUsage = 2;

int Play(const simulator::Model& model, std::uint64_t seed, const std::string& self, bool verbose) {
  const double began = multiprocess::NowMs();
  boost::asio::io_context io(1);
  multiprocess::Outcome outcome;
  try {
    const std::filesystem::path programs = std::filesystem::path(self).parent_path();
    multiprocess::Trial trial(io, model, seed, self, programs / "badgerbridge",
                              programs / "badgerbridge-relay");
    outcome = trial.Run();
  } catch (const std::exception& bad) {
    std::cout << "trial: plan=\"" << model.name << "\" seed=" << seed << " did not run: " << bad.what()
              << std::endl;
    return kBroke;
  }
  const multiprocess::Verdict& v = outcome.verdict;
  const bool holds = outcome.holds() && 100 * outcome.worth_share() >= model.together.least_worth_percent;
  if (!holds || verbose) {
    for (const std::string& line : outcome.timeline) std::cout << line << '\n';
    std::printf("%8s %8s %8s %8s %8s\n", "second", "asked", "served", "refused", "failed");
    for (std::size_t i = 0; i < outcome.seconds.size(); ++i) {
      const multiprocess::Second& s = outcome.seconds[i];
      std::printf("%8zu %8llu %8llu %8llu %8llu\n", i, static_cast<unsigned long long>(s.asked),
                  static_cast<unsigned long long>(s.served), static_cast<unsigned long long>(s.refused),
                  static_cast<unsigned long long>(s.failed));
    }
    std::fflush(stdout);
    for (const std::string& line : outcome.troubles) std::cout << "TROUBLE: " << line << '\n';
    for (const std::string& line : v.breaches) std::cout << "BROKEN: " << line << '\n';
  }
  std::string decided;
  if (model.together.regions) {
    char text[128];
    std::snprintf(
        text, sizeof text, " epoch=%llu decisions=%llu disorder=%llu unfenced=%llu worst_receiver=%.3f",
        static_cast<unsigned long long>(outcome.epoch), static_cast<unsigned long long>(outcome.decisions),
        static_cast<unsigned long long>(outcome.disorder), static_cast<unsigned long long>(outcome.unfenced),
        outcome.worst_receiver);
    decided = text;
  }
  if (v.cold_starts > 0) {
    char text[96];
    std::snprintf(text, sizeof text, " cold_starts=%llu over_cold=%llu worst_cold=%.2f",
                  static_cast<unsigned long long>(v.cold_starts),
                  static_cast<unsigned long long>(v.over_cold), v.worst_cold);
    decided += text;
  }
  if (!outcome.restarts_ms.empty()) {
    char text[96];
    std::snprintf(text, sizeof text, " restarts=%zu ready_share=%.2f slowest_ready_ms=%.0f",
                  outcome.restarts_ms.size(), outcome.ready_share(),
                  *std::max_element(outcome.restarts_ms.begin(), outcome.restarts_ms.end()));
    decided += text;
  }
  if (model.together.raw_clients > 0) {
    char text[160];
    std::snprintf(
        text, sizeof text, " stalls=%llu left=%llu late=%llu crossed=%llu raced=%llu stops_at_work=%llu",
        static_cast<unsigned long long>(outcome.stalls), static_cast<unsigned long long>(v.left),
        static_cast<unsigned long long>(v.late), static_cast<unsigned long long>(v.crossed),
        static_cast<unsigned long long>(v.raced), static_cast<unsigned long long>(outcome.stalls_at_work));
    decided += text;
  }
  std::printf(
      "trial: plan=\"%s\" seed=%llu processes=%zu requests=%llu served=%llu refused=%llu failed=%llu "
      "unsent=%llu "
      "excused=%llu lost=%llu doubled=%llu twice=%llu late_sends=%llu after_departure=%llu too_long=%llu "
      "fell=%llu unaccounted=%llu "
      "troubles=%zu worth=%.3f "
      "seconds=%.1f%s %s\n",
      model.name.c_str(), static_cast<unsigned long long>(seed), outcome.processes,
      static_cast<unsigned long long>(v.requests), static_cast<unsigned long long>(v.served),
      static_cast<unsigned long long>(v.refused), static_cast<unsigned long long>(v.failed),
      static_cast<unsigned long long>(v.unsent), static_cast<unsigned long long>(v.excused),
      static_cast<unsigned long long>(v.lost), static_cast<unsigned long long>(v.doubled),
      static_cast<unsigned long long>(v.twice), static_cast<unsigned long long>(v.late_sends),
      static_cast<unsigned long long>(v.after_departure), static_cast<unsigned long long>(v.too_long),
      static_cast<unsigned long long>(v.fell), static_cast<unsigned long long>(v.unaccounted),
      outcome.troubles.size(), outcome.worth_share(), (multiprocess::NowMs() - began) / 1000, decided.c_str(),
      holds ? "holds" : "BROKEN");
  return holds ? kHeld : kBroke;
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("multiprocess_test: plays scenarios with real processes on loopback");
  app.footer(
      "Exit codes: 0 all held; 1 something was broken, or did not run; 2 usage, or a file that is not to be "
      "used.");
  app.require_subcommand(1);
  std::vector<std::string> paths;
  std::string role;
  std::uint64_t seed = 1;
  bool verbose = false;
  auto* run = app.add_subcommand("run", "play plans, one after another");
  run->add_option("plans", paths, "scenario files with a [together] table")->required();
  run->add_option("--seed", seed, "of all that is drawn (1)");
  run->add_flag("--verbose", verbose, "print what was done, also when all holds");
  auto* part = app.add_subcommand("role", "a part of a trial; started by `run`");
  part->add_option("name", role)->required();
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kHeld : kUsage;
  }
  if (part->parsed()) {
    if (role == "converters") return multiprocess::PlayBackends();
    if (role == "clients") return multiprocess::PlayClients();
    if (role == "raw_clients") return multiprocess::PlayRawClients();
    if (role == "discovery") return multiprocess::PlayDiscovery();
    if (role == "wire") return multiprocess::PlayWire();
    if (role == "etcd") return multiprocess::PlayEtcd();
    std::cerr << "multiprocess_test: there is no part " << role << '\n';
    return kUsage;
  }
  const std::string self = std::filesystem::read_symlink("/proc/self/exe");
  int code = kHeld;
  for (const std::string& path : paths) {
    operator_config::Problems problems;
    const simulator::Model model = simulator::LoadScenario(path, problems);
    std::cerr << operator_config::FormatProblems(problems);
    if (!problems.empty()) return kUsage;
    code = std::max(code, Play(model, seed, self, verbose));
  }
  return code;
}
