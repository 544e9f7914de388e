// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-simulator: plays a scenario in virtual time.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <iostream>
#include <optional>
#include <thread>

#include "http_api/version.h"
#include "simulator/experiment.h"
#include "simulator/scenario.h"
#include "simulator/world.h"

namespace {

using namespace badgerbridge;
namespace json = boost::json;

constexpr int kHeld = 0, kBroke = 1, kUsage = 2;

std::string Hex(std::uint64_t word) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(word));
  return text;
}

// What deciding in common costs: calls, and bytes of keys and values both ways, a second for each proxy.
struct Traffic {
  double calls = 0, bytes = 0;
};

std::optional<Traffic> TrafficOf(const simulator::Model& model, const simulator::World& world,
                                 const simulator::Result& result) {
  if (!world.members() || world.members()->etcd().calls() == 0 || result.length <= 0) return std::nullopt;
  const double by = result.length / 1000 * model.proxies;
  return Traffic{static_cast<double>(world.members()->etcd().calls()) / by,
                 static_cast<double>(world.members()->etcd().bytes()) / by};
}

json::object Describe(const simulator::Model& model, std::uint64_t seed, const simulator::Result& result) {
  json::array classes;
  for (std::size_t i = 0; i < result.classes.size(); ++i) {
    const simulator::ClassResult& c = result.classes[i];
    classes.push_back(json::object{{"class", model.classes[i].name},
                                   {"asked", c.asked},
                                   {"served", c.served},
                                   {"in_aim", c.in_aim},
                                   {"refused", c.refused},
                                   {"failed", c.failed},
                                   {"left", c.left},
                                   {"unreached", c.unreached},
                                   {"cut_short", c.cut_short},
                                   {"tries", c.tries},
                                   {"attempts", c.attempts},
                                   {"crossed", c.crossed},
                                   {"far", c.far},
                                   {"worth_asked", c.worth_asked},
                                   {"worth_served", c.worth_served},
                                   {"p50_ms", c.latency.Quantile(0.5)},
                                   {"p99_ms", c.latency.Quantile(0.99)},
                                   {"p999_ms", c.latency.Quantile(0.999)}});
  }
  json::object all{{"scenario", model.name},
                   {"seed", seed},
                   {"utilization", model.Utilization()},
                   {"worth_share", result.worth_share()},
                   {"steps", result.steps},
                   {"attempts", result.attempts},
                   {"virtual_ms", result.length},
                   {"digest", Hex(result.digest)},
                   {"classes", std::move(classes)}};
  if (result.breach)
    all["breach"] = json::object{{"rule", simulator::Name(result.breach->rule)},
                                 {"step", result.breach->step},
                                 {"what", result.breach->what}};
  return all;
}

void Print(const simulator::Model& model, std::uint64_t seed, const simulator::Result& result) {
  std::printf("%s, seed %llu: %.3f of the worth served, %llu steps, digest %s\n", model.name.c_str(),
              static_cast<unsigned long long>(seed), result.worth_share(),
              static_cast<unsigned long long>(result.steps), Hex(result.digest).c_str());
  std::printf("%-12s %9s %8s %8s %8s %8s %8s %8s %8s %8s\n", "class", "asked", "served", "in aim", "refused",
              "failed", "p50 ms", "p99 ms", "tries", "crossed");
  for (std::size_t i = 0; i < result.classes.size(); ++i) {
    const simulator::ClassResult& c = result.classes[i];
    const auto share = [&](std::uint64_t n) {
      return c.asked > 0 ? 100 * static_cast<double>(n) / static_cast<double>(c.asked) : 0;
    };
    std::printf(
        "%-12s %9llu %7.2f%% %7.2f%% %7.2f%% %7.2f%% %8.1f %8.1f %8.2f %7.2f%%\n",
        model.classes[i].name.c_str(), static_cast<unsigned long long>(c.asked), share(c.served),
        share(c.in_aim), share(c.refused), share(c.failed), c.latency.Quantile(0.5), c.latency.Quantile(0.99),
        share(c.tries) / 100,
        c.attempts > 0 ? 100 * static_cast<double>(c.crossed) / static_cast<double>(c.attempts) : 0.0);
  }
  if (!result.busy.empty()) {
    auto busy = result.busy;
    std::sort(busy.begin(), busy.end());
    std::printf("converters busy: least %.2f, median %.2f, most %.2f\n", busy.front(), busy[busy.size() / 2],
                busy.back());
  }
  if (result.breach)
    std::printf("BROKEN: %s, at step %llu: %s\n", std::string(simulator::Name(result.breach->rule)).c_str(),
                static_cast<unsigned long long>(result.breach->step), result.breach->what.c_str());
}

using Decide = simulator::RegionsModel::Decide;

Decide DecideOf(const std::string& name) {
  return name == "off"     ? Decide::kOff
         : name == "alone" ? Decide::kAlone
         : name == "cliff" ? Decide::kCliff
                           : Decide::kTogether;
}

// Percent, with the interval.
std::string Percent(const simulator::Interval& interval, bool sign) {
  char text[64];
  std::snprintf(text, sizeof text, sign ? "%+.2f (%+.2f to %+.2f)" : "%.2f (%.2f to %.2f)",
                100 * interval.mean, 100 * interval.low, 100 * interval.high);
  return text;
}

int Compare(const simulator::Model& model, const std::vector<simulator::Way>& ways, std::uint64_t first,
            std::size_t seeds, unsigned threads, bool as_json) {
  const auto all = simulator::Compare(model, ways, first, seeds, threads);
  int code = kHeld;
  json::array rows;
  if (!as_json)
    std::printf("%s, %zu seeds from %llu: means, with 95 %% intervals\n%-24s %-26s %-28s %10s %10s\n",
                model.name.c_str(), seeds, static_cast<unsigned long long>(first), "way", "worth served, %",
                "against the first", "top ref. %", "crossed %");
  for (const simulator::Compared& one : all) {
    double refused = 0, crossed = 0;
    json::array runs, breaches;
    for (const simulator::Played& run : one.runs) {
      refused += run.top_refused / static_cast<double>(seeds);
      crossed += run.crossed / static_cast<double>(seeds);
      runs.push_back(run.worth);
      if (!run.breach.empty()) breaches.push_back(json::value(run.breach));
    }
    if (!breaches.empty()) code = kBroke;
    const auto interval = [](const simulator::Interval& i) {
      return json::object{{"mean", i.mean}, {"low", i.low}, {"high", i.high}};
    };
    if (as_json) {
      rows.push_back(json::object{{"way", one.way.Name(model)},
                                  {"worth", interval(one.worth)},
                                  {"against_first", interval(one.against_first)},
                                  {"top_refused", refused},
                                  {"crossed", crossed},
                                  {"runs", std::move(runs)},
                                  {"breaches", std::move(breaches)}});
      continue;
    }
    const bool same = &one != &all.front() && one.against_first.HoldsZero();
    std::printf("%-24s %-26s %-28s %10.3f %10.2f%s\n", one.way.Name(model).c_str(),
                Percent(one.worth, false).c_str(),
                &one == &all.front() ? "" : Percent(one.against_first, true).c_str(), 100 * refused,
                100 * crossed, same ? "  no difference shown" : "");
    for (const json::value& breach : breaches) std::printf("BROKEN: %s\n", breach.as_string().c_str());
  }
  if (as_json)
    std::cout << json::serialize(json::object{
                     {"scenario", model.name}, {"seeds", seeds}, {"first", first}, {"ways", rows}})
              << '\n';
  return code;
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
  std::string path, output = "table";
  std::uint64_t seed = 1, ties = 0, most_steps = 1000000000;
  auto* run = app.add_subcommand("run", "play a scenario once");
  run->add_option("scenario", path, "the scenario file")->required();
  run->add_option("--seed", seed, "of all that is drawn (1)");
  run->add_option("--ties", ties, "another order of what happens at the same moment");
  std::string decide;
  run->add_option("--decide", decide,
                  "who decides how much goes to each zone, instead of what the scenario says")
      ->check(CLI::IsMember({"off", "alone", "cliff", "together"}));
  run->add_option("--most-steps", most_steps, "ends the run after so many events (1000000000)");
  run->add_option("-o,--output", output, "table or json")->check(CLI::IsMember({"table", "json"}));
  auto* compare =
      app.add_subcommand("compare", "play a scenario in several ways under the same seeds, on all cores");
  std::vector<std::string> decides;
  std::vector<int> proxies;
  std::size_t seeds = 10;
  unsigned threads = std::max(1u, std::thread::hardware_concurrency());
  compare->add_option("scenario", path, "the scenario file")->required();
  compare->add_option("--decide", decides, "ways of deciding how much goes to each zone, as off,together")
      ->delimiter(',')
      ->check(CLI::IsMember({"off", "alone", "cliff", "together"}));
  compare->add_option("--proxies", proxies, "numbers of proxies, as 1,4,40")
      ->delimiter(',')
      ->check(CLI::Range(1, 10000));
  compare->add_option("--seeds", seeds, "how many (10)")->check(CLI::Range(1, 1000));
  compare->add_option("--seed", seed, "the first of them (1)");
  compare->add_option("--threads", threads, "how many runs at once (all cores)")->check(CLI::Range(1, 256));
  compare->add_option("-o,--output", output, "table or json")->check(CLI::IsMember({"table", "json"}));
  auto* check = app.add_subcommand("check", "check a scenario, and play nothing");
  check->add_option("scenario", path, "the scenario file")->required();
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kHeld : kUsage;
  }
  operator_config::Problems problems;
  simulator::Model model = simulator::LoadScenario(path, problems);
  std::cerr << operator_config::FormatProblems(problems);
  if (!problems.empty()) return kUsage;
  if (check->parsed()) return kHeld;
  if (compare->parsed()) {
    std::vector<simulator::Way> ways;
    for (const int count : proxies.empty() ? std::vector<int>{0} : proxies) {
      if (decides.empty()) ways.push_back({model.decision.decide, count});
      for (const std::string& one : decides) ways.push_back({DecideOf(one), count});
    }
    return Compare(model, ways, seed, seeds, threads, output == "json");
  }
  if (!decide.empty()) model.decision.decide = DecideOf(decide);
  simulator::World world(model, seed, simulator::MakeBadgerbridge, ties);
  const simulator::Result result = world.Run(most_steps);
  const auto traffic = TrafficOf(model, world, result);
  if (output == "json") {
    json::object all = Describe(model, seed, result);
    if (traffic) all["etcd_per_proxy_s"] = json::object{{"calls", traffic->calls}, {"bytes", traffic->bytes}};
    std::cout << json::serialize(all) << '\n';
  } else {
    Print(model, seed, result);
    if (traffic)
      std::printf("etcd: %.1f calls and %.0f bytes a second for each proxy\n", traffic->calls,
                  traffic->bytes);
  }
  return result.breach ? kBroke : kHeld;
}
