// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>

#include "simulator/report.h"

namespace badgerbridge::simulator {
namespace {

namespace json = boost::json;

// What coordinated zone failover costs, a second for each proxy.
struct EtcdTraffic {
  double calls = 0;
  double bytes = 0;  // of keys and values, both ways
};

std::optional<EtcdTraffic> EtcdTrafficOf(const Model& model, const Simulation& simulation,
                                         const SimulationResult& result) {
  const FailoverMembers* members = simulation.failover_members();
  if (members == nullptr || members->etcd().calls() == 0 || result.duration_ms <= 0) return std::nullopt;
  const double proxy_seconds = result.duration_ms / 1000 * model.proxies;
  return EtcdTraffic{static_cast<double>(members->etcd().calls()) / proxy_seconds,
                     static_cast<double>(members->etcd().bytes()) / proxy_seconds};
}

std::string HexDigits(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

json::object JsonOf(const std::string& name, const ClassResult& result) {
  return {{"class", name},
          {"asked", result.requested},
          {"served", result.served},
          {"in_aim", result.within_objective},
          {"refused", result.rejected},
          {"failed", result.failed},
          {"left", result.disconnected},
          {"unreached", result.unreachable},
          {"cut_short", result.interrupted},
          {"tries", result.submissions},
          {"attempts", result.attempts},
          {"crossed", result.cross_zone},
          {"far", result.cross_region},
          {"worth_asked", result.requested_weight},
          {"worth_served", result.served_weight},
          {"p50_ms", result.latency.Quantile(0.5)},
          {"p99_ms", result.latency.Quantile(0.99)},
          {"p999_ms", result.latency.Quantile(0.999)}};
}

json::object JsonOf(const Model& model, std::uint64_t seed, const SimulationResult& result) {
  json::array classes;
  for (std::size_t i = 0; i < result.classes.size(); ++i)
    classes.push_back(JsonOf(model.classes[i].name, result.classes[i]));
  json::object run{{"scenario", model.name},
                   {"seed", seed},
                   {"utilization", model.Utilization()},
                   {"worth_share", result.ServedWeightShare()},
                   {"steps", result.steps},
                   {"attempts", result.attempts},
                   {"virtual_ms", result.duration_ms},
                   {"digest", HexDigits(result.digest)},
                   {"classes", std::move(classes)}};
  if (result.violation)
    run["breach"] = json::object{{"rule", Name(result.violation->rule)},
                                 {"step", result.violation->step},
                                 {"what", result.violation->description}};
  return run;
}

// Percent of the class's requests.
double PercentOf(std::uint64_t count, std::uint64_t requested) {
  return requested > 0 ? 100 * static_cast<double>(count) / static_cast<double>(requested) : 0;
}

void PrintClassRow(const std::string& name, const ClassResult& result) {
  const std::uint64_t requested = result.requested;
  std::printf("%-12s %9llu %7.2f%% %7.2f%% %7.2f%% %7.2f%% %8.1f %8.1f %8.2f %7.2f%%\n", name.c_str(),
              static_cast<unsigned long long>(requested), PercentOf(result.served, requested),
              PercentOf(result.within_objective, requested), PercentOf(result.rejected, requested),
              PercentOf(result.failed, requested), result.latency.Quantile(0.5),
              result.latency.Quantile(0.99), PercentOf(result.submissions, requested) / 100,
              PercentOf(result.cross_zone, result.attempts));
}

void PrintUtilization(std::vector<double> utilization) {
  if (utilization.empty()) return;
  std::sort(utilization.begin(), utilization.end());
  std::printf("converters busy: least %.2f, median %.2f, most %.2f\n", utilization.front(),
              utilization[utilization.size() / 2], utilization.back());
}

void PrintTable(const Model& model, std::uint64_t seed, const SimulationResult& result) {
  std::printf("%s, seed %llu: %.3f of the worth served, %llu steps, digest %s\n", model.name.c_str(),
              static_cast<unsigned long long>(seed), result.ServedWeightShare(),
              static_cast<unsigned long long>(result.steps), HexDigits(result.digest).c_str());
  std::printf("%-12s %9s %8s %8s %8s %8s %8s %8s %8s %8s\n", "class", "asked", "served", "in aim", "refused",
              "failed", "p50 ms", "p99 ms", "tries", "crossed");
  for (std::size_t i = 0; i < result.classes.size(); ++i)
    PrintClassRow(model.classes[i].name, result.classes[i]);
  PrintUtilization(result.utilization);
  if (result.violation)
    std::printf("BROKEN: %s, at step %llu: %s\n", std::string(Name(result.violation->rule)).c_str(),
                static_cast<unsigned long long>(result.violation->step),
                result.violation->description.c_str());
}

}  // namespace

void PrintRun(const Model& model, std::uint64_t seed, const Simulation& simulation,
              const SimulationResult& result, OutputFormat format) {
  const auto traffic = EtcdTrafficOf(model, simulation, result);
  if (format == OutputFormat::kJson) {
    json::object run = JsonOf(model, seed, result);
    if (traffic) run["etcd_per_proxy_s"] = json::object{{"calls", traffic->calls}, {"bytes", traffic->bytes}};
    std::cout << json::serialize(run) << '\n';
    return;
  }
  PrintTable(model, seed, result);
  if (traffic)
    std::printf("etcd: %.1f calls and %.0f bytes a second for each proxy\n", traffic->calls, traffic->bytes);
}

}  // namespace badgerbridge::simulator
